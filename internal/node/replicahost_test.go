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
)

// TestNoCallerWaitsForAStalledDisk: while a replica's disk takes no write, a call ends with the time for which its caller
// waits, and its body is freed; so a stall of any length keeps only the calls of a moment in memory.
func TestNoCallerWaitsForAStalledDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		h := &replicaHost{mu: make(contextMutex, 1), clock: func() time.Duration { return time.Since(began) }}
		h.mu.Lock() // a write that does not return
		for _, kind := range []replica.CallKind{replica.CallPaxos, replica.CallSnapshot} {
			called := time.Now()
			if _, err := h.handleCall(context.Background(), kind, netip.Addr{}, nil); !errors.Is(err, errDiskBusy) || time.Since(called) != replica.CallTimeout(kind) {
				t.Errorf("call %d: %v after %v", kind, err, time.Since(called))
			}
		}
		called := time.Now()
		r := h.operate(context.Background(), func(id replica.RequestID, deadline time.Duration) replica.Event {
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
	for _, kind := range []replica.CallKind{
		replica.CallPaxos, replica.CallLearn, replica.CallSnapshot, replica.CallIdentity, replica.CallJoin, replica.CallCommit,
		replica.CallReachable,
	} {
		t.Run(fmt.Sprint("call ", kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &replicaHost{mu: make(contextMutex, 1)}
				h.mu.Lock()
				n := &Node{replica: h}
				if _, err := n.handleCall(t.Context(), uint8(kind), netip.Addr{}, nil); !errors.Is(err, errDiskBusy) {
					t.Errorf("got %v, want %v", err, errDiskBusy)
				}
			})
		})
	}
}
