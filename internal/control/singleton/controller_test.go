package singleton

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"notchhinge/internal/control/autoscale"
	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/lease"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/usage"
)

const sec = time.Second

// harness runs the Controller of the first of three members. A test supplies the results of its effects.
type harness struct {
	*Controller
	now           time.Duration
	state         replog.State
	calls         []SendCall
	platformCalls []string // usage reports and scaling requests, in order
	proposed      func(*replog.State) []byte
}

func newHarness() *harness {
	h := &harness{now: time.Minute, state: replog.State{NextIndex: 1, Members: []replog.Member{
		{ID: 1, Name: "a", Addr: "10.0.0.1:1"}, {ID: 2, Name: "b", Addr: "10.0.0.2:1"}, {ID: 3, Name: "c", Addr: "10.0.0.3:1"},
	}}}
	h.Controller = New(h.now, Config{
		Self: h.state.Members[0], NeverGranted: true, LeaseDuration: 3 * sec, UsageWindow: 5 * sec, UsageDelay: 10 * sec,
		RouterWindow: 10 * sec, ReportsUsage: true, ScalesEngines: true, Incarnation: 7,
		Peers: func() []netip.AddrPort { return nil },
		Services: func() []autoscale.Service {
			return []autoscale.Service{{Name: "s", Bounds: autoscale.Bounds{Min: 1, Max: 9}, Ready: map[string]int{"y": 1, "z": 1}, Slots: 4}}
		},
	})
	return h
}

func (h *harness) wall() time.Time { return time.Unix(1000, 0).Add(h.now) }

func (h *harness) reduce(e Event) {
	for _, f := range h.Reduce(h.now, h.wall(), &h.state, e) {
		switch f := f.(type) {
		case SendCall:
			h.calls = append(h.calls, f)
		case Propose:
			h.proposed = f.Next
		case ReportUsage:
			h.platformCalls = append(h.platformCalls, fmt.Sprint("usage ", f.FencingToken, f.Counts))
		case ScaleEngines:
			h.platformCalls = append(h.platformCalls, fmt.Sprint("scale ", f.FencingToken, f.Zone, f.Engines))
		}
	}
}

// call returns the response to a call.
func (h *harness) call(t *testing.T, kind rpc.Kind, body []byte) SendReply {
	t.Helper()
	for _, f := range h.Reduce(h.now, h.wall(), &h.state, CallReceived{Kind: kind, Body: body}) {
		if r, ok := f.(SendReply); ok {
			return r
		}
	}
	t.Fatal("no SendReply")
	return SendReply{}
}

// isGranted reports whether a request is granted.
func (h *harness) isGranted(t *testing.T, kind rpc.Kind, body []byte) bool {
	t.Helper()
	r := h.call(t, kind, body)
	return r.Err == nil && lease.IsGranted(r.Body)
}

// choose completes the pending proposal and applies its value.
func (h *harness) choose() {
	if next := h.proposed; next != nil {
		h.proposed = nil
		if value := next(&h.state); value != nil {
			h.state.Apply(value)
		}
		h.reduce(ProposalDone{})
	}
}

// grant makes the first n of the other voters grant the pending requests, and the rest reject them.
func (h *harness) grant(n int) {
	calls := h.calls
	h.calls = nil
	for i, c := range calls {
		if c.Kind == rpc.KindRenewLease || c.Kind == rpc.KindCheckCandidacy {
			h.reduce(CallReturned{ID: c.ID, Body: lease.EncodeResponse(i < n)})
		}
	}
}

func (h *harness) advance(d time.Duration) {
	h.now += d
	h.reduce(Tick{})
}

// elect makes the Controller the holder, without a lease yet.
func (h *harness) elect(t *testing.T) {
	t.Helper()
	h.advance(sec)
	if h.grant(0); h.proposed != nil {
		t.Fatal("it is proposed without permission from a majority")
	}
	h.advance(sec)
	h.grant(1)
	h.choose()
	if h.state.LeaseHolder != 1 || len(h.calls) != 2 || len(h.platformCalls) != 0 {
		t.Fatalf("holder %d, %d calls, platform calls %v", h.state.LeaseHolder, len(h.calls), h.platformCalls)
	}
}

// TestPlatformIsCalledOnlyUnderALease checks that the platform is called only under a lease that a majority has granted, with one
// call at a time, and that committed counts are sent unchanged until the platform accepts them.
func TestPlatformIsCalledOnlyUnderALease(t *testing.T) {
	h := newHarness()
	counters := usage.Counters{}
	counters.Add(usage.WindowAt(h.wall(), 5*sec), "t", 4)
	p := usage.Report{Incarnation: 9, Counters: counters, Loads: []usage.Load{{Service: "s", Running: 1000, Arrived: 10}}}
	report := func() { h.reduce(CallReceived{Kind: rpc.KindUsageReport, Body: p.Encode()}) }
	expect := func(when, want string) {
		t.Helper()
		if got := fmt.Sprint(h.platformCalls); got != want {
			t.Fatalf("%s: platform calls %v, want %v", when, got, want)
		}
	}
	report()
	h.elect(t)
	h.grant(0)
	h.advance(sec / 2)
	expect("without a majority", "[]")
	h.grant(1)
	expect("with a majority", "[scale 1y5]") // 10 running at 1.24 per engine: 9 engines, 5 of them in the first zone
	h.advance(sec / 2)
	h.grant(2)
	expect("while a call is in flight", "[scale 1y5]")
	h.reduce(PlatformAnswered{})
	h.reduce(PlatformAnswered{Err: errors.New("busy")})
	h.platformCalls = nil
	report()
	h.advance(sec / 2)
	h.grant(2)
	expect("after one of two targets was rejected", "[scale 1z4]")
	h.reduce(PlatformAnswered{})
	for range 20 { // until the window is due
		h.advance(sec / 2)
		h.grant(2)
	}
	h.choose()
	if len(h.platformCalls) == 0 || h.platformCalls[len(h.platformCalls)-1] != "usage 1 map[t:4]" {
		t.Fatalf("platform calls %v, want the usage window last", h.platformCalls)
	}
	counters.Add(usage.WindowAt(h.wall(), 5*sec)-2, "t", 1) // a late report of the window changes nothing
	report()
	h.reduce(PlatformAnswered{Err: errors.New("lost")})
	h.platformCalls = nil
	h.grant(2)
	expect("immediately after an error", "[]")
	h.advance(sec / 2)
	expect("at the tick after an error", "[usage 1 map[t:4]]")
	h.reduce(PlatformAnswered{})
	h.calls, h.platformCalls = nil, nil
	h.advance(2500 * time.Millisecond) // since the last grant
	h.reduce(PlatformAnswered{})
	expect("under a lease that is about to expire", "[]")
}

// TestVoterGrantsToTheAgreedHolderOnly checks that a voter grants a lease only to the holder in its state, and permits no other
// candidate while that lease is valid.
func TestVoterGrantsToTheAgreedHolderOnly(t *testing.T) {
	h := newHarness()
	h.state.Apply(replog.Entry{Payload: replog.LeaseGrant{HolderID: 2, HolderName: "b"}}.Encode())
	isGranted := func(kind rpc.Kind, token, node byte) bool {
		t.Helper()
		return h.isGranted(t, kind, []byte{token, 0, 0, 0, 0, 0, 0, 0, node})
	}
	if isGranted(rpc.KindRenewLease, 1, 3) || isGranted(rpc.KindRenewLease, 2, 2) || !isGranted(rpc.KindRenewLease, 1, 2) {
		t.Error("a lease must be granted only to the holder in the state, with its fencing token")
	}
	h.now += 2 * sec
	if isGranted(rpc.KindCheckCandidacy, 1, 3) || !isGranted(rpc.KindCheckCandidacy, 1, 2) {
		t.Error("during a lease only its holder may be a candidate")
	}
	h.now += 2 * sec
	if isGranted(rpc.KindCheckCandidacy, 0, 3) || !isGranted(rpc.KindCheckCandidacy, 1, 3) {
		t.Error("after a lease only a candidate that knows the newest holder is permitted")
	}
}

// TestNewVotersGrantNothingAtOnce checks that a new voter grants no lease for one LeaseDuration, that a voter grants none while a
// change of members is pending, and that it grants none to a holder with different voters.
func TestNewVotersGrantNothingAtOnce(t *testing.T) {
	isGranted := func(h *harness, voters uint64) bool {
		t.Helper()
		return h.isGranted(t, rpc.KindRenewLease, lease.Renewal{FencingToken: h.state.FencingToken, Holder: 2, VotersHash: voters}.Encode())
	}
	h := newHarness()
	h.state.LeaseHolder, h.state.FencingToken, h.state.NextIndex = 2, 3, 4
	all := h.state.Members
	h.state.Members = append([]replog.Member{{ID: 8, Name: "z", Addr: "10.0.0.8:1"}}, all[1:]...)
	h.reduce(Tick{}) // it is not a voter
	if isGranted(h, lease.HashVoters(h.state.Members)) {
		t.Error("granted by a replica that is not a voter")
	}
	h.now += time.Minute
	h.state.Members, h.state.NextIndex = all, 5
	h.reduce(Tick{})
	voters := lease.HashVoters(all)
	if isGranted(h, voters) {
		t.Error("granted while the lease of another holder may still be valid")
	}
	if h.now += 3*sec + 1; !isGranted(h, voters) {
		t.Error("not granted after one LeaseDuration")
	}
	if isGranted(h, voters+1) {
		t.Error("granted to a holder with different voters")
	}
	pending := false
	h.cfg.MembershipPending = func() bool { return pending }
	if pending = true; isGranted(h, voters) {
		t.Error("granted while a change of members is pending")
	}
	if pending = false; !isGranted(h, voters) {
		t.Error("not granted after the change is decided")
	}
}

// TestOnlyTheHolderCountsRouters checks that only the holder reports the number of routers, and only after RouterWindow. The first
// holder of the fleet reports it immediately.
func TestOnlyTheHolderCountsRouters(t *testing.T) {
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprintf("first start %v", first), func(t *testing.T) {
			h := newHarness()
			h.cfg.NeverGranted, h.grants.NeverGranted = first, first
			routers := func() uint64 {
				t.Helper()
				ack, err := usage.DecodeAck(h.call(t, rpc.KindUsageReport, (&usage.Report{Incarnation: 9}).Encode()).Body)
				if err != nil {
					t.Fatal(err)
				}
				return ack.Routers
			}
			if n := routers(); n != 0 {
				t.Errorf("%d routers, reported by a voter that is not the holder", n)
			}
			since := time.Duration(0)
			for range 60 {
				h.advance(sec / 2)
				h.grant(2)
				h.choose()
				h.grant(2)
				if _, ok := h.callTimeout(); ok && since == 0 {
					since = h.now
				}
				want := uint64(0)
				if since > 0 && (first || h.now-h.holderSeenAt >= h.cfg.RouterWindow) {
					want = 1
				}
				if n := routers(); n != want {
					t.Fatalf("%v after it became the holder: %d routers, want %d", h.now-since, n, want)
				}
			}
			if since == 0 {
				t.Fatal("it never became the holder")
			}
			h.now += 5 * sec // without a grant
			if n := routers(); n != 0 {
				t.Errorf("%d routers after the lease expired", n)
			}
		})
	}
}

// TestCallsAreChecked checks that each kind of call of this package has a handler, and that a call that is malformed or belongs to
// another package returns an error.
func TestCallsAreChecked(t *testing.T) {
	h := newHarness()
	if mismatches := callHandlers.Mismatches(rpc.OwnerSingleton); len(mismatches) > 0 {
		t.Errorf("handlers are missing or belong to another owner: %v", mismatches)
	}
	for _, kind := range rpc.Kinds(rpc.OwnerSingleton) {
		if r := h.call(t, kind, nil); !errors.Is(r.Err, encoding.ErrTruncated) {
			t.Errorf("an empty call of kind %d: error %v", kind, r.Err)
		}
	}
	if r := h.call(t, rpc.KindJoin, nil); !errors.Is(r.Err, rpc.UnknownKindError(rpc.KindJoin)) {
		t.Errorf("a call of another package: error %v", r.Err)
	}
}
