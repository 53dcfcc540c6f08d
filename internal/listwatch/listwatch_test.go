package listwatch

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/testutil/replay"
	"notchhinge/policy"
)

// deliver returns a function that records the lists of a client as events of a pool with one zone.
func deliver(got *[]dispatch.Event) func(policy.ListKind, List) error {
	return func(kind policy.ListKind, l List) error {
		if kind == policy.ListFailed {
			*got = append(*got, dispatch.EndpointsListed{Kind: kind})
			return nil
		}
		hosts, err := l.DispatchHosts([]string{"a"})
		if err == nil {
			*got = append(*got, dispatch.EndpointsListed{Kind: kind, Hosts: hosts})
		}
		return err
	}
}

// newClient returns a client that records its deliveries and log lines in got, and the far ends of the connections that it opens.
func newClient(got *[]dispatch.Event) (*Client, <-chan net.Conn) {
	far := make(chan net.Conn, 1)
	return &Client{
		Addr: "127.0.0.8:8500", Deliver: deliver(got),
		Limits: limits.New(limits.Machine{Sockets: 1024}, limits.Site{}),
		Post:   func(e dispatch.Event) { *got = append(*got, e) },
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			near, other := net.Pipe()
			far <- other
			return near, nil
		},
	}, far
}

func TestWatchDeliversLists(t *testing.T) {
	ready := dispatch.Host{Name: "s-5b", Addr: "127.0.0.9:5000", Cell: 3, Weight: 1, State: policy.StateReady}
	draining := ready
	draining.State, draining.StartedAt = policy.StateDraining, 1500*time.Millisecond
	failed := dispatch.EndpointsListed{Kind: policy.ListFailed}
	for name, c := range map[string]struct {
		known bool
		want  []dispatch.Event
	}{
		"watch": {true, []dispatch.Event{
			dispatch.EndpointsListed{Kind: policy.ListDelta, Hosts: []dispatch.Host{draining}},
			dispatch.EndpointsListed{Kind: policy.ListDelta, Hosts: []dispatch.Host{}},
			dispatch.EndpointsListed{Kind: policy.ListFull, Hosts: []dispatch.Host{ready}},
			failed, dispatch.LogLine("discovery: unexpected status 503 Service Unavailable"),
		}},
		"hasty": {true, []dispatch.Event{
			dispatch.EndpointsListed{Kind: policy.ListDelta, Hosts: []dispatch.Host{}},
			dispatch.EndpointsListed{Kind: policy.ListDelta, Hosts: []dispatch.Host{}},
		}},
		"nothing_known": {false, []dispatch.Event{dispatch.EndpointsListed{Kind: policy.ListFull, Hosts: []dispatch.Host{ready}}}},
		"down":          {true, []dispatch.Event{failed, dispatch.LogLine("discovery: unexpected EOF")}},
		"silent":        {true, []dispatch.Event{failed, dispatch.LogLine("discovery: read pipe: i/o timeout")}},
		"nonsense": {true, []dispatch.Event{
			failed, dispatch.LogLine(`discovery: host "s-5b": health "Odd" is unknown`),
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var got []dispatch.Event
				client, far := newClient(&got)
				if c.known {
					client.SetInitial(List{Seq: 41, Hosts: make([]Entry, 1)})
				}
				ctx, cancel := context.WithCancel(t.Context())
				requested := make(chan struct{}, 1)
				requested <- struct{}{}
				go client.Run(ctx, requested)
				conn := <-far
				start := time.Now()
				replay.Play(t, conn, "testdata/"+name+".txt", replay.Steps{"at": func(want string) {
					if got := time.Since(start).String(); got != want {
						t.Errorf("call after %s, want %s", got, want)
					}
				}})
				synctest.Wait()
				cancel()
				synctest.Wait()
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestStoppedFeedEndsAtOnce(t *testing.T) {
	// A new configuration has another discovery service. The pending call to the old one is closed at once, the new one delivers a
	// full list first, and no failure is delivered.
	synctest.Test(t, func(t *testing.T) {
		var got []dispatch.Event
		far := make(chan net.Conn, 1)
		feed := func(addr string) *Feed {
			return NewFeed(Client{
				Addr: addr, Limits: limits.New(limits.Machine{Sockets: 1024}, limits.Site{}),
				DialContext: func(context.Context, string, string) (net.Conn, error) {
					near, other := net.Pipe()
					far <- other
					return near, nil
				},
			}, func(e dispatch.Event) { got = append(got, e) })
		}
		ctx, cancel := context.WithCancel(t.Context())
		first := feed("127.0.0.8:8500")
		first.SetInitial(List{Seq: 41, Hosts: []Entry{{Name: "old", Health: "Ready"}}})
		first.SetPool(0, PoolUse{IsNew: true})
		first.Run(ctx)
		first.RequestWatch(0)
		old := <-far
		replay.Play(t, old, "testdata/parts/waits.txt", nil)
		second := feed("127.0.0.8:8501")
		second.SetPool(0, PoolUse{})
		second.Run(ctx)
		second.RequestWatchNow()
		if first.RemovePool(0) {
			t.Error("RemovePool reports that a pool is left")
		}
		first.Stop()
		synctest.Wait()
		replay.Play(t, old, "testdata/parts/is_closed.txt", nil)
		replay.Play(t, <-far, "testdata/parts/moved.txt", nil)
		synctest.Wait()
		cancel()
		synctest.Wait()
		want := []dispatch.Event{
			dispatch.EndpointsListed{Kind: policy.ListCached, Hosts: []dispatch.Host{{Name: "old", Zone: -1}}},
			dispatch.EndpointsListed{Kind: policy.ListFull, Hosts: []dispatch.Host{
				{Name: "s-5b", Addr: "127.0.0.9:5000", Zone: -1, Cell: 3, Weight: 1, State: policy.StateReady},
			}},
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

// TestPoolsGetTheirSelections checks that each pool gets the hosts of its selection only, and those that have left it.
func TestPoolsGetTheirSelections(t *testing.T) {
	var got []string
	f := NewFeed(Client{}, func(e dispatch.Event) {
		l := e.(dispatch.EndpointsListed)
		s := fmt.Sprintf("%d %d:", l.Pool, l.Kind)
		for _, h := range l.Hosts {
			s += fmt.Sprintf(" %s=%d", h.Name, h.State)
			if h.Deselected {
				s += "(left)"
			}
		}
		got = append(got, s)
	})
	expect := func(want ...string) {
		t.Helper()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		got = nil
	}
	deliverList := func(kind policy.ListKind, l List) {
		t.Helper()
		if err := f.deliver(kind, l); err != nil {
			t.Errorf("deliver %v: %v", kind, err)
		}
	}
	entry := func(name, site string, block int, class, health string) Entry {
		return Entry{Name: name, Addr: "d", Zone: site, Cell: block, Class: class, Health: health}
	}
	f.SetPool(1, PoolUse{Selection: Selection{Zones: []string{"a"}, Names: []string{"r-*"}}, IsNew: true})
	f.SetPool(2, PoolUse{Selection: Selection{Cells: []int{7}}, IsNew: true})
	f.SetPool(3, PoolUse{Selection: Selection{Classes: []string{"big"}}, IsNew: true})
	expect("1 2:", "2 2:", "3 2:")
	deliverList(policy.ListFull, List{Hosts: []Entry{
		entry("r-1", "a", 1, "", "Ready"), entry("r-2", "b", 7, "", "Ready"), entry("x", "a", 7, "big", "Ready"),
	}})
	expect("1 1: r-1=0", "2 1: r-2=0 x=0", "3 1: x=0")
	deliverList(policy.ListDelta, List{Hosts: []Entry{entry("r-1", "a", 1, "", "Terminating")}})
	expect("1 0: r-1=1")
	deliverList(policy.ListDelta, List{Hosts: []Entry{entry("x", "a", 1, "big", "Ready")}}) // x leaves block 7
	expect("2 0: x=2(left)", "3 0: x=0")
	deliverList(policy.ListDelta, List{Hosts: []Entry{entry("r-2", "b", 7, "", "Gone")}})
	expect("2 0: r-2=2")
	deliverList(policy.ListFailed, List{})
	expect("1 3:")          // only the first pool
	f.SetPool(1, PoolUse{}) // another selection: the known part is delivered at once
	expect("1 1: r-1=1 x=0")
	f.SetPool(4, PoolUse{Selection: Selection{Names: []string{"x"}}, IsNew: true})
	expect("4 2: x=0")
	if err := f.deliver(policy.ListDelta, List{Hosts: []Entry{entry("y", "a", 1, "", "Odd")}}); err == nil || got != nil {
		t.Errorf("an invalid list: %v, delivered %q", err, got)
	}
}

// TestOnePoolPacesCallsAfterAFailure checks that a failing discovery service is not called once for each pool.
func TestOnePoolPacesCallsAfterAFailure(t *testing.T) {
	var failed []hoststate.PoolID
	f := NewFeed(Client{}, func(e dispatch.Event) {
		if l := e.(dispatch.EndpointsListed); l.Kind == policy.ListFailed {
			failed = append(failed, l.Pool)
		}
	})
	watchRequested := func() bool {
		select {
		case <-f.watchRequested:
			return true
		default:
			return false
		}
	}
	for id := range hoststate.PoolID(3) {
		f.SetPool(id+1, PoolUse{IsNew: true})
	}
	if f.RequestWatch(3); !watchRequested() {
		t.Error("a request before any failure was dropped")
	}
	if err := f.deliver(policy.ListFailed, List{}); err != nil {
		t.Fatal(err)
	}
	if f.RequestWatch(2); watchRequested() {
		t.Error("a request of a pool other than the first was accepted after a failure")
	}
	if f.RequestWatch(1); !watchRequested() {
		t.Error("a request of the first pool was dropped after a failure")
	}
	f.RemovePool(1)
	f.RemovePool(3)
	if f.RequestWatch(2); !watchRequested() || !cmp.Equal(failed, []hoststate.PoolID{1, 2}) {
		t.Errorf("pools that were notified of a failure: %v", failed)
	}
	f.SetPool(0, PoolUse{}) // an older pool moves here from another feed and becomes the first
	if f.RequestWatch(0); !watchRequested() || !cmp.Equal(failed, []hoststate.PoolID{1, 2, 0}) {
		t.Errorf("pools that were notified of a failure: %v", failed)
	}
	f.RemovePool(0)
	if err := f.deliver(policy.ListDelta, List{}); err != nil {
		t.Fatal(err)
	}
	f.SetPool(4, PoolUse{IsNew: true})
	if f.RequestWatch(4); !watchRequested() {
		t.Error("a request after a success was dropped")
	}
}
