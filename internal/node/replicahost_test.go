package node

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"notchhinge/internal/control/replica"
)

// TestNoCallerWaitsForAStalledDisk: while a keeper's disk takes nothing, who calls is let go once it would wait no more, and so is
// what it has sent; so a stall of any length holds no more than a moment's calls.
func TestNoCallerWaitsForAStalledDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		k := &replicaHost{mu: make(contextMutex, 1), clock: func() time.Duration { return time.Since(began) }}
		k.mu.Lock() // a write that does not come back
		for _, kind := range []replica.CallKind{replica.CallPaxos, replica.CallSnapshot} {
			at := time.Now()
			if _, err := k.handleCall(context.Background(), kind, netip.Addr{}, nil); !errors.Is(err, errDiskBusy) || time.Since(at) != replica.CallTimeout(kind) {
				t.Errorf("call %d: %v after %v", kind, err, time.Since(at))
			}
		}
		at := time.Now()
		r := k.operate(context.Background(), func(id replica.RequestID, deadline time.Duration) replica.Event {
			return replica.ReadConfig{Request: id, Deadline: deadline}
		})
		if r.Status != 503 || time.Since(at) > time.Second {
			t.Errorf("%+v after %v", r, time.Since(at))
		}
	})
}
