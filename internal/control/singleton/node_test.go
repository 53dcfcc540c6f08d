package singleton

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
)

// keeper is a Node among three members, whose effects a test answers by hand.
type keeper struct {
	*Controller
	now   time.Duration
	state replog.State
	calls []replica.SendCall
	sent  []string
	want  func(*replog.State) []byte
}

func newKeeper() *keeper {
	k := &keeper{now: time.Minute, state: replog.State{NextIndex: 1, Members: []replog.Member{
		{ID: 1, Name: "a", Addr: "10.0.0.1:1"}, {ID: 2, Name: "b", Addr: "10.0.0.2:1"}, {ID: 3, Name: "c", Addr: "10.0.0.3:1"},
	}}}
	k.Controller = New(k.now, Config{
		Self: k.state.Members[0], NeverGranted: true, LeaseDuration: 3 * sec, UsageWindow: 5 * sec, UsageDelay: 10 * sec, RouterWindow: 10 * sec, ReportsUsage: true, ScalesEngines: true, Incarnation: 7,
		Peers: func() []netip.AddrPort { return nil },
		Services: func() []Service {
			return []Service{{Name: "s", Bounds: Bounds{Min: 1, Max: 9}, Ready: map[string]int{"y": 1, "z": 1}, Slots: 4}}
		},
	})
	return k
}

func (k *keeper) wall() time.Time { return time.Unix(1000, 0).Add(k.now) }

func (k *keeper) take(e Event) {
	for _, f := range k.Reduce(k.now, k.wall(), &k.state, e) {
		switch f := f.(type) {
		case replica.SendCall:
			k.calls = append(k.calls, f)
		case Propose:
			k.want = f.Next
		case ReportUsage:
			k.sent = append(k.sent, fmt.Sprint("usage ", f.FencingToken, f.Counts))
		case ScaleEngines:
			k.sent = append(k.sent, fmt.Sprint("order ", f.FencingToken, f.Zone, f.Engines))
		}
	}
}

// chosen has what is proposed chosen.
func (k *keeper) chosen() {
	if want := k.want; want != nil {
		k.want = nil
		if value := want(&k.state); value != nil {
			k.state.Apply(value)
		}
		k.take(ProposalDone{})
	}
}

// granted has so many of the others grant what was asked of them, and the rest refuse.
func (k *keeper) granted(n int) {
	all := k.calls
	k.calls = nil
	for i, c := range all {
		if c.Kind == CallRenewLease || c.Kind == CallCheckCandidacy {
			yes := byte(0)
			if i < n {
				yes = 1
			}
			k.take(replica.CallReturned{ID: c.ID, Body: []byte{yes}})
		}
	}
}

func (k *keeper) pass(d time.Duration) {
	k.now += d
	k.take(replica.Tick{})
}

// TestHolder: nothing goes to the platform but under a lease that a majority has granted; one call at a time; and what was
// agreed is sent, again until it is taken.
func TestHolder(t *testing.T) {
	k := newKeeper()
	tally := Counters{}
	tally.Add(WindowAt(k.wall(), 5*sec), "t", 4)
	p := Report{Incarnation: 9, Counters: tally, Loads: []Load{{Service: "s", Running: 1000, Arrived: 10}}}
	report := func() { k.take(replica.CallReceived{Kind: CallUsageReport, Body: p.Encode()}) }
	report()
	k.pass(sec)
	if k.granted(0); k.want != nil {
		t.Fatal("it stands though others' leases may be in the way")
	}
	k.pass(sec)
	k.granted(1)
	k.chosen()
	if k.state.LeaseHolder != 1 || len(k.calls) != 2 || len(k.sent) != 0 {
		t.Fatalf("holder %d, %d calls, sent %v", k.state.LeaseHolder, len(k.calls), k.sent)
	}
	k.granted(0)
	k.pass(sec / 2)
	if len(k.sent) != 0 {
		t.Fatalf("without a majority's grant %v is sent", k.sent)
	}
	k.granted(1)
	if fmt.Sprint(k.sent) != "[order 1y5]" { // 10 running, 1.24 an engine: 9, 5 of them in the first zone
		t.Fatalf("sent %v", k.sent)
	}
	k.pass(sec / 2)
	k.granted(2)
	if len(k.sent) != 1 {
		t.Fatalf("two calls at a time: %v", k.sent)
	}
	k.take(PlatformAnswered{})
	k.take(PlatformAnswered{Err: errors.New("busy")})
	k.sent = nil
	report()
	k.pass(sec / 2)
	k.granted(2)
	if fmt.Sprint(k.sent) != "[order 1z4]" {
		t.Fatalf("of the orders that one was not taken of, %v is sent", k.sent)
	}
	k.take(PlatformAnswered{})
	for range 20 { // until the window is over for long enough
		k.pass(sec / 2)
		k.granted(2)
	}
	k.chosen()
	if len(k.sent) == 0 || k.sent[len(k.sent)-1] != "usage 1 map[t:4]" {
		t.Fatalf("sent %v", k.sent)
	}
	tally.Add(WindowAt(k.wall(), 5*sec)-2, "t", 1) // word of it that comes too late changes nothing
	report()
	k.take(PlatformAnswered{Err: errors.New("lost")})
	k.sent = nil
	if k.granted(2); len(k.sent) != 0 {
		t.Fatalf("%v is sent again at once", k.sent)
	}
	k.pass(sec / 2)
	if fmt.Sprint(k.sent) != "[usage 1 map[t:4]]" {
		t.Fatalf("sent %v", k.sent)
	}
	k.take(PlatformAnswered{})
	k.calls, k.sent = nil, nil
	k.pass(2500 * time.Millisecond) // of the lease nobody has given more since
	k.take(PlatformAnswered{})
	if len(k.sent) != 0 {
		t.Fatalf("under a lease that is nearly over %v is sent", k.sent)
	}
}

// TestGrants: a member gives its lease to the holder that it knows of, and votes for no other while that lasts.
func TestGrants(t *testing.T) {
	k := newKeeper()
	k.state.Apply(replog.Entry{Payload: replog.LeaseGrant{HolderID: 2, HolderName: "b"}}.Encode())
	ask := func(kind, place, node byte) bool {
		w := []byte{place, 0, 0, 0, 0, 0, 0, 0, node}
		for _, f := range k.Reduce(k.now, k.wall(), &k.state, replica.CallReceived{Kind: kind, Body: w}) {
			if r, ok := f.(replica.SendReply); ok {
				return r.Err == nil && len(r.Body) == 1 && r.Body[0] == 1
			}
		}
		t.Fatal("no answer")
		return false
	}
	if ask(CallRenewLease, 1, 3) || ask(CallRenewLease, 2, 2) || !ask(CallRenewLease, 1, 2) {
		t.Error("a lease is for who was agreed, at its place")
	}
	k.now += 2 * sec
	if ask(CallCheckCandidacy, 1, 3) || !ask(CallCheckCandidacy, 1, 2) {
		t.Error("under a lease another may not stand, and its holder may")
	}
	k.now += 2 * sec
	if ask(CallCheckCandidacy, 0, 3) || !ask(CallCheckCandidacy, 1, 3) {
		t.Error("after it whoever knows the newest holder may stand")
	}
}

// TestNewVotersGrantNothingAtOnce: who has just been given its vote grants no lease for as long as one may run that the one
// before it has granted; who has accepted other members grants none; and none goes to who knows of other members.
func TestNewVotersGrantNothingAtOnce(t *testing.T) {
	ask := func(k *keeper, voters uint64) bool {
		w := encoding.Writer{}
		w.Uvarint(k.state.FencingToken)
		w.Fixed64(2)
		w.Fixed64(voters)
		for _, f := range k.Reduce(k.now, k.wall(), &k.state, replica.CallReceived{Kind: CallRenewLease, Body: w.Buf}) {
			if r, ok := f.(replica.SendReply); ok && r.Err == nil {
				return len(r.Body) == 1 && r.Body[0] == 1
			}
		}
		return false
	}
	k := newKeeper()
	k.state.LeaseHolder, k.state.FencingToken, k.state.NextIndex = 2, 3, 4
	all := k.state.Members
	k.state.Members = append([]replog.Member{{ID: 8, Name: "z", Addr: "10.0.0.8:1"}}, all[1:]...)
	k.take(replica.Tick{}) // it has no vote
	if ask(k, voters(k.state.Members)) {
		t.Error("granted without a vote")
	}
	k.now += time.Minute
	k.state.Members, k.state.NextIndex = all, 5
	k.take(replica.Tick{})
	if ask(k, voters(k.state.Members)) {
		t.Error("granted while what it grants may be another's still")
	}
	if k.now += 3*sec + 1; !ask(k, voters(k.state.Members)) {
		t.Error("not granted after a lease's time")
	}
	if ask(k, voters(k.state.Members)+1) {
		t.Error("granted to who knows of other members")
	}
	changing := false
	k.MembershipPending = func() bool { return changing }
	if changing = true; ask(k, voters(k.state.Members)) {
		t.Error("granted with other members accepted")
	}
	if changing = false; !ask(k, voters(k.state.Members)) {
		t.Error("not granted once that is decided")
	}
}

// TestWhoSaysHowManyThereAre: only the holder does, and not before all that it cannot have heard of has left the window; the
// very first one at once.
func TestWhoSaysHowManyThereAre(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		k := newKeeper()
		k.Controller.NeverGranted, k.Controller.grants.NeverGranted = fresh, fresh
		said := func() uint64 {
			p := Report{Incarnation: 9}
			for _, f := range k.Reduce(k.now, k.wall(), &k.state, replica.CallReceived{Kind: CallUsageReport, Body: p.Encode()}) {
				if r, ok := f.(replica.SendReply); ok {
					word, err := DecodeAck(r.Body)
					if err != nil {
						t.Fatal(err)
					}
					return word.Routers
				}
			}
			return 99
		}
		if n := said(); n != 0 {
			t.Errorf("%d are told by one that holds nothing", n)
		}
		since := time.Duration(0)
		for range 60 {
			k.pass(sec / 2)
			k.granted(2)
			k.chosen()
			k.granted(2)
			if _, ok := k.holds(); ok && since == 0 {
				since = k.now
			}
			want := uint64(0)
			if since > 0 && (fresh || k.now-k.fenceAt >= k.RouterWindow) {
				want = 1
			}
			if n := said(); n != want {
				t.Fatalf("fresh %v, %v after it holds: %d are told", fresh, k.now-since, n)
			}
		}
		if since == 0 {
			t.Fatal("it never held")
		}
		k.now += 5 * sec // without a grant
		if n := said(); n != 0 {
			t.Errorf("%d are told once its lease is over", n)
		}
	}
}
