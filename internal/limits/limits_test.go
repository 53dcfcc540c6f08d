package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDescriptorsSuffice checks that connections and reserved descriptors together fit into the descriptors of the machine.
func TestDescriptorsSuffice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sockets := rapid.IntRange(200, 1<<16).Draw(t, "sockets")
		sources := rapid.IntRange(1, 20).Draw(t, "endpoint sources")
		files := rapid.IntRange(0, 32).Draw(t, "batch files")
		l := New(Machine{Cores: 1, MemoryMB: 256, Sockets: sockets}, Site{})
		used := func() int { return l.ClientConns + l.UpstreamConns + l.RejectConns + reservedDescriptors }
		if used() > sockets {
			t.Errorf("%d descriptors are used, the machine has %d", used(), sockets)
		}
		l = l.WithEndpointSources(sources).WithAdmin().WithBatch(files)
		further := l.EndpointSources - 1 + ControlSocketConns + AdminConns + 1 + l.BatchConns + files
		if l.ClientConns > 1 && l.UpstreamConns > 1 && used()+further > sockets {
			t.Errorf("%d descriptors are used and %d reserved, the machine has %d", used(), further, sockets)
		}
		if l.ConcurrentRequests > l.UpstreamConns {
			t.Errorf("%d concurrent requests on %d upstream connections", l.ConcurrentRequests, l.UpstreamConns)
		}
		full, half := l.FullCapacity(), l.TakeoverCapacity()
		if half.ClientConns > 1 && half.UpstreamConns > 1 && (2*half.ClientConns > full.ClientConns || 2*half.UpstreamConns > full.UpstreamConns ||
			2*half.HeapBytes > full.HeapBytes) {
			t.Errorf("two processes with %+v each together exceed %+v", half, full)
		}
	})
}

func TestConfiguredBoundsAreCapped(t *testing.T) {
	l := NewFleetRouter(Machine{Cores: 1, MemoryMB: 256, Sockets: 4096})
	defaults := l.DefaultBounds()
	for _, c := range []struct {
		name                   string
		headerBytes, bodyBytes int
		head, idle             time.Duration
		want                   RequestBounds
		capped                 bool
	}{
		{"nothing configured", 0, 0, 0, 0, RequestBounds{
			defaultHeaderBytes + RequestLineBytes, defaultHeaderBytes, defaults.BodyBytes, defaults.ReadTimeout, defaults.IdleTimeout,
		}, false},
		{"within the machine", 1 << 10, 1 << 20, time.Second, time.Minute, RequestBounds{
			1<<10 + RequestLineBytes, 1 << 10, 1 << 20, time.Second, time.Minute,
		}, false},
		{"above the machine", 1 << 30, 1 << 30, time.Hour, 24 * time.Hour, RequestBounds{
			MaxHeaderBytes + RequestLineBytes, MaxHeaderBytes, int(l.TotalBodyBytes / 2), MaxHeaderTimeout, MaxIdleTimeout,
		}, true},
	} {
		got, capped := l.ConfiguredBounds(c.headerBytes, c.bodyBytes, c.head, c.idle)
		if got != c.want || capped != c.capped {
			t.Errorf("%s: got %+v, capped %v; want %+v, %v", c.name, got, capped, c.want, c.capped)
		}
	}
}

// TestRetrySharesAllowARestartOfAll checks that the shares of all routers, and of as many that have just restarted, stay within the
// total.
func TestRetrySharesAllowARestartOfAll(t *testing.T) {
	for _, n := range []int{1, 2, 10, 100} {
		if sum := float64(n)/RetryShares(n) + float64(n)/RetryShares(2*n); sum > 1.0001 {
			t.Errorf("%d routers: shares add up to %v", n, sum)
		}
	}
}

// TestInnerTimeoutsFitOuterTimeouts checks that each timeout is shorter than that of the caller that waits for it.
func TestInnerTimeoutsFitOuterTimeouts(t *testing.T) {
	const operatorClientTimeout = time.Second
	for _, c := range []struct {
		name         string
		inner, outer time.Duration
	}{
		{"two calls to replicas within an operator's", 2 * ReplicaCallTimeout, OperatorCallTimeout},
		{"an operator's call within the timeout of its client", OperatorCallTimeout + time.Millisecond, operatorClientTimeout},
		{"two replicas tried within the timeout of an operator's client", 2 * ReplicaFailoverTimeout, operatorClientTimeout},
		{"a call to a replica before the failover", ReplicaCallTimeout + time.Millisecond, ReplicaFailoverTimeout},
		{"two reports within the validity of a share", 2 * RouterReportInterval, RetryShareTTL},
		{"three calls before a voter is replaced", 3 * ReplicaCallTimeout, VoterReplaceDelay},
		{"the readiness delay of a drain within the time for a replica to leave", ReadinessDrainDelay, ReplicaLeaveTimeout},
		{"serving without a quorum before serving without a replica", ReadyWithoutQuorumAfter, ReadyWithoutReplicaAfter},
	} {
		if c.inner > c.outer {
			t.Errorf("%s: %v exceeds %v", c.name, c.inner, c.outer)
		}
	}
}
