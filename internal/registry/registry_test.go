package registry

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/broker"
	"notchhinge/internal/exchange"
	"notchhinge/internal/limits"
	"notchhinge/policy"
)

func TestWatch(t *testing.T) {
	ready := broker.Host{Name: "s-5b", Dial: "127.0.0.9:5000", Cell: 3, Weight: 1, State: policy.Ready}
	draining := ready
	draining.State, draining.BornAt = policy.Draining, 1500*time.Millisecond
	failed := broker.Listed{Kind: policy.ListFailed}
	for name, c := range map[string]struct {
		known bool
		want  []broker.Event
	}{
		"watch": {true, []broker.Event{
			broker.Listed{Kind: policy.ListDelta, Hosts: []broker.Host{draining}},
			broker.Listed{Kind: policy.ListDelta, Hosts: []broker.Host{}},
			broker.Listed{Kind: policy.ListFull, Hosts: []broker.Host{ready}},
			failed, broker.Note("discovery: answered 503 Service Unavailable"),
		}},
		"hasty": {true, []broker.Event{
			broker.Listed{Kind: policy.ListDelta, Hosts: []broker.Host{}},
			broker.Listed{Kind: policy.ListDelta, Hosts: []broker.Host{}},
		}},
		"nothing_known": {false, []broker.Event{broker.Listed{Kind: policy.ListFull, Hosts: []broker.Host{ready}}}},
		"down":          {true, []broker.Event{failed, broker.Note("discovery: unexpected EOF")}},
		"silent":        {true, []broker.Event{failed, broker.Note("discovery: read pipe: i/o timeout")}},
		"nonsense": {true, []broker.Event{
			failed, broker.Note(`discovery: host "s-5b": health "Odd" is unknown`)}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var got []broker.Event
				far := make(chan net.Conn, 1)
				cl := &Client{
					Addr: "127.0.0.8:8500", Zones: []string{"a"},
					Lim:  limits.New(limits.Machine{Sockets: 1024}, limits.Site{}),
					Post: func(e broker.Event) { got = append(got, e) },
					Dial: func(context.Context, string, string) (net.Conn, error) {
						near, other := net.Pipe()
						far <- other
						return near, nil
					},
				}
				if c.known {
					cl.Known(List{Seq: 41, Hosts: make([]Entry, 1)})
				}
				ctx, cancel := context.WithCancel(t.Context())
				asked := make(chan struct{}, 1)
				asked <- struct{}{}
				go cl.Run(ctx, asked)
				conn := <-far
				began := time.Now()
				exchange.Play(t, conn, "testdata/"+name+".txt", exchange.Does{"at": func(want string) {
					if got := time.Since(began).String(); got != want {
						t.Errorf("at %s, not %s", got, want)
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

func TestMove(t *testing.T) {
	// A new configuration names another discovery: the call that waits at the old one is given up at once, the
	// whole list of the new one comes first, and the module hears of no failure.
	synctest.Test(t, func(t *testing.T) {
		var got []broker.Event
		far := make(chan net.Conn, 1)
		cl := New(Client{
			Addr: "127.0.0.8:8500", Lim: limits.New(limits.Machine{Sockets: 1024}, limits.Site{}),
			Post: func(e broker.Event) { got = append(got, e) },
			Dial: func(context.Context, string, string) (net.Conn, error) {
				near, other := net.Pipe()
				far <- other
				return near, nil
			},
		})
		cl.Known(List{Seq: 41, Hosts: make([]Entry, 1)})
		ctx, cancel := context.WithCancel(t.Context())
		asked := make(chan struct{}, 1)
		asked <- struct{}{}
		go cl.Run(ctx, asked)
		old := <-far
		exchange.Play(t, old, "testdata/parts/waits.txt", nil)
		cl.Move("127.0.0.8:8501")
		synctest.Wait()
		exchange.Play(t, old, "testdata/parts/is_closed.txt", nil)
		exchange.Play(t, <-far, "testdata/parts/moved.txt", nil)
		synctest.Wait()
		cancel()
		synctest.Wait()
		want := []broker.Event{broker.Listed{Kind: policy.ListFull, Hosts: []broker.Host{
			{Name: "s-5b", Dial: "127.0.0.9:5000", Zone: -1, Cell: 3, Weight: 1, State: policy.Ready},
		}}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}
