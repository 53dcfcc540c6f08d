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

// TestNoCallerWaitsForAStalledDisk: while the disk of a replica stalls, a call ends after its caller's timeout, so that calls
// and their bodies do not accumulate in memory.
func TestNoCallerWaitsForAStalledDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		h := &replicaHost{mu: make(contextMutex, 1), clock: func() time.Duration { return time.Since(began) }}
		h.mu.Lock() // as during a write that does not return
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

// TestEveryCallReachesTheReplica: every kind of call that the replica owns is passed to it. The lock is held, so each call
// fails with errDiskBusy.
func TestEveryCallReachesTheReplica(t *testing.T) {
	for _, kind := range rpc.Kinds(rpc.OwnerReplica) {
		t.Run(fmt.Sprint("call ", kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &replicaHost{mu: make(contextMutex, 1)}
				h.mu.Lock()
				n := &Node{replica: h}
				if _, err := n.handleCall(t.Context(), kind, netip.Addr{}, nil); !errors.Is(err, errDiskBusy) {
					t.Errorf("error %v, want %v", err, errDiskBusy)
				}
			})
		})
	}
}

// TestEveryCallHasAnOwnerInTheProcess: every process recognizes every listed kind of call, even without a replica.
func TestEveryCallHasAnOwnerInTheProcess(t *testing.T) {
	for _, owner := range []rpc.Owner{rpc.OwnerReplica, rpc.OwnerSingleton} {
		for _, kind := range rpc.Kinds(owner) {
			if _, err := (&Node{}).handleCall(t.Context(), kind, netip.Addr{}, nil); !errors.Is(err, errNoReplica) {
				t.Errorf("call %d to a router: error %v", kind, err)
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
		t.Errorf("unknown kind of call: error %v", err)
	}
}
