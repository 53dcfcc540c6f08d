package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/rpc"
)

// TestNoCallerWaitsForAStalledDisk: while a replica's disk takes no write, a call ends with the time for which its caller
// waits, and its body is freed; so a stall of any length keeps only the calls of a moment in memory.
func TestNoCallerWaitsForAStalledDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		h := &replicaHost{mu: make(contextMutex, 1), clock: func() time.Duration { return time.Since(began) }}
		h.mu.Lock() // a write that does not return
		for _, kind := range []rpc.Kind{rpc.KindPaxos, rpc.KindSnapshot} {
			called := time.Now()
			if _, err := h.handleCall(context.Background(), kind, netip.Addr{}, nil); !errors.Is(err, errDiskBusy) || time.Since(called) != rpc.Lookup(kind).Timeout {
				t.Errorf("call %d: %v after %v", kind, err, time.Since(called))
			}
		}
		called := time.Now()
		r := h.handleOperatorCall(context.Background(), func(id replica.RequestID, deadline time.Duration) replica.Event {
			return replica.ReadConfig{Request: id, Deadline: deadline}
		})
		if r.Status != http.StatusServiceUnavailable || time.Since(called) > time.Second {
			t.Errorf("%+v after %v", r, time.Since(called))
		}
	})
}

// TestEveryCallReachesTheReplica calls a process with every kind of call of replicas: each must be handed to the replica, which
// here waits for its disk until the caller has given up.
func TestEveryCallReachesTheReplica(t *testing.T) {
	for _, kind := range rpc.Kinds(rpc.OwnerReplica) {
		t.Run(fmt.Sprint("call ", kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &replicaHost{mu: make(contextMutex, 1)}
				h.mu.Lock()
				n := &Node{replica: h}
				if _, err := n.handleCall(t.Context(), kind, netip.Addr{}, nil); !errors.Is(err, errDiskBusy) {
					t.Errorf("got %v, want %v", err, errDiskBusy)
				}
			})
		})
	}
}

// TestEveryCallHasAnOwnerInTheProcess: no listed kind of call is unknown to a process, one without a replica included.
func TestEveryCallHasAnOwnerInTheProcess(t *testing.T) {
	for _, owner := range []rpc.Owner{rpc.OwnerReplica, rpc.OwnerSingleton} {
		for _, kind := range rpc.Kinds(owner) {
			if _, err := (&Node{}).handleCall(t.Context(), kind, netip.Addr{}, nil); !errors.Is(err, errNoReplica) {
				t.Errorf("call %d of a router: %v", kind, err)
			}
		}
	}
	n := &Node{configs: &configSync{}}
	for _, kind := range rpc.Kinds(rpc.OwnerConfigs) {
		if _, err := n.handleCall(t.Context(), kind, netip.Addr{}, replica.EncodeIndexed(0, nil)); err != nil {
			t.Errorf("call %d: %v", kind, err)
		}
	}
	const unused = rpc.Kind(12)
	if _, err := n.handleCall(t.Context(), unused, netip.Addr{}, nil); !errors.Is(err, rpc.UnknownKindError(unused)) {
		t.Errorf("an unknown call: %v", err)
	}
}
