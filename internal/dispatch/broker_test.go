package dispatch

import (
	"fmt"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/limits"
	"notchhinge/internal/retrybudget"
	"notchhinge/policy"
)

const sec = time.Second

func settings() policy.Settings {
	return policy.Settings{
		Routers: 1, Zones: 1, SlowStartInitial: 0.5, SlowStart: sec, DrainGrace: sec / 2, NeedsWatch: true, WatchWithin: 10 * sec,
		Classes: []policy.Class{{Name: "chat", TargetLatency: sec, Deadline: 10 * sec, Value: 1, IsStreaming: true}},
		Limits:  policy.Limits{CanCancel: true, CanProbe: true, SendsRetryAfter: true, MaxAttempts: 3, MaxRetryAfter: 2 * sec},
	}
}

// rig is a broker with hosts and the effects of its last turn, one word each.
type rig struct {
	*Dispatcher
	t   *testing.T
	now time.Duration
}

func module(t testing.TB) *policy.Balancer {
	t.Helper()
	m, err := policy.New(settings(), 7)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func newRig(t *testing.T, hosts int, change func(*limits.Limits)) *rig {
	t.Helper()
	lim := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024},
		limits.Site{ConnectTimeout: sec / 10, UpstreamIdleClose: 5 * sec, MaxAttempts: 3, MaxDeadline: 10 * sec})
	if change != nil {
		change(&lim)
	}
	r := &rig{Dispatcher: New(lim), t: t, now: 1000 * sec}
	r.Reduce(r.now, ConfigurePool{Module: module(t), SlowStart: sec, SlowStartInitial: 0.5})
	var l EndpointsListed
	for i := range hosts {
		l.Hosts = append(l.Hosts, Host{Name: fmt.Sprint("h", i), Addr: fmt.Sprint("d", i), Weight: 1})
	}
	l.Kind = policy.ListFull
	r.Reduce(r.now, l)
	return r
}

func (r *rig) turn(at time.Duration, e Event) []string {
	var words []string
	for _, f := range r.Reduce(r.now+at, e) {
		switch f := f.(type) {
		case StartAttempt:
			words = append(words, fmt.Sprintf("send %d.%d for %v", f.Attempt.Request, f.Attempt.Index, f.Timeout))
		case BindAttempt:
			words = append(words, fmt.Sprintf("bind %d.%d", f.Attempt.Request, f.Attempt.Index))
		case CancelAttempt:
			words = append(words, fmt.Sprintf("drop %d.%d", f.Attempt.Request, f.Attempt.Index))
		case Reject:
			words = append(words, fmt.Sprintf("decline %v %s after %v", f.Client, [...]string{"refused", "failed", "taking"}[f.Verdict], f.RetryAfter))
		case CloseIdleConnection:
			words = append(words, fmt.Sprintf("hang up %d", f.Connection))
		case ReminderDue:
			words = append(words, fmt.Sprint("remind ", f.Token))
		case SendProbe:
			words = append(words, "probe "+f.Addr)
		}
	}
	return words
}

func (r *rig) expect(at time.Duration, e Event, want ...string) {
	r.t.Helper()
	if diff := cmp.Diff(want, r.turn(at, e)); diff != "" {
		r.t.Fatalf("after %T at %v (-want +got):\n%s", e, at, diff)
	}
}

func taken(from string, at, budget time.Duration) RequestReceived {
	return RequestReceived{Client: from, ReceivedAt: at, Request: policy.Request{Session: 9, Timeout: budget}}
}

func TestServedLeg(t *testing.T) {
	r := newRig(t, 2, nil)
	r.expect(0, taken("a", r.now, 4*sec), "send 1.0 for 4s")
	r.expect(sec, AttemptStarted{AttemptID{1, 0}}, "bind 1.0")
	r.expect(9*sec, Tick{}) // once begun, the deadline runs no longer
	r.expect(9*sec, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultOK})
	r.expect(9*sec, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultReset}) // a second outcome is none
	if c := r.pools[0].counts; c.Served != 1 || c.Outcomes[policy.ResultOK] != 1 || c.Outcomes[policy.ResultReset] != 0 || len(r.auths) != 0 {
		t.Errorf("counters %+v, %d open", c, len(r.auths))
	}
}

func TestDeadlineAnswersAtOnce(t *testing.T) {
	// Guards against an authorisation that outlives its time because its legs are silent.
	r := newRig(t, 2, nil)
	r.expect(sec, taken("a", r.now, 4*sec), "send 1.0 for 3s") // its time runs from its last byte
	r.expect(4*sec-1, Tick{})
	r.expect(4*sec, Tick{}, "drop 1.0", "decline a failed after 0s")
	r.expect(5*sec, AttemptStarted{AttemptID{1, 0}}, "drop 1.0") // too late to be the acquirer's
	r.expect(5*sec, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultCancelled})
	if n := r.pools[0].counts.Outcomes[policy.ResultTimedOut]; n != 1 || r.Open() != 0 {
		t.Errorf("%d time-outs, %d open", n, r.Open())
	}
}

func TestIDOfAnOpenRequest(t *testing.T) {
	// Passing a second authorisation on under the id of an open one would be a second copy of that one's leg.
	r := newRig(t, 2, nil)
	second := taken("b", r.now, 4*sec)
	first := taken("a", r.now, 4*sec)
	first.ClientRequestID, second.ClientRequestID = "9b1f", "9b1f"
	r.expect(0, first, "send 1.0 for 4s")
	r.expect(0, second, "decline b taking after 0s")
	r.expect(sec, AttemptStarted{AttemptID{1, 0}}, "bind 1.0")
	r.expect(sec, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultOK})
	second.ReceivedAt = r.now + sec
	r.expect(sec, second, "send 2.0 for 4s")
}

func TestAttemptsAreCapped(t *testing.T) {
	// The module may go on only to hosts that it has not tried, and to three legs at the most.
	r := newRig(t, 5, nil)
	r.expect(0, taken("a", r.now, 4*sec), "send 1.0 for 4s")
	r.expect(sec, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultConnectFailed}, "send 1.1 for 3s")
	r.expect(sec, AttemptEnded{Attempt: AttemptID{1, 1}, Result: policy.ResultFull}, "send 1.2 for 3s")
	r.expect(sec, AttemptEnded{Attempt: AttemptID{1, 2}, Result: policy.ResultFull}, "decline a refused after 500ms")
	r.pools[0].Send(1, 0, 0) // over: no effect, and no leg
	if r.pools[0].counts.Attempts != 3 {
		t.Errorf("%d legs", r.pools[0].counts.Attempts)
	}
}

func TestMootSends(t *testing.T) {
	r := newRig(t, 2, nil)
	r.turn(0, taken("a", r.now, 4*sec))
	r.turn(0, AttemptStarted{AttemptID{1, 0}})
	for name, host := range map[string]policy.ReplicaID{"bound": r.pools[0].hostID("h1"), "unknown host": 1} {
		r.effects = nil
		r.pools[0].Send(1, host, 0)
		r.settle()
		if len(r.effects) != 0 {
			t.Errorf("%s: %v", name, r.effects)
		}
	}
	if n := r.pools[0].counts.Outcomes[policy.ResultMoot]; n != 2 {
		t.Errorf("%d moot", n)
	}
}

func TestFirstEventBinds(t *testing.T) {
	// With two copies out, the first event takes the authorisation and the other copy is called off.
	r := newRig(t, 2, nil)
	r.turn(0, taken("a", r.now, 4*sec))
	for _, name := range []string{"h0", "h1"} {
		if id := r.pools[0].hostID(name); id != r.auths[1].legs[0].host {
			r.pools[0].Send(1, id, 0)
		}
	}
	r.expect(sec, AttemptStarted{AttemptID{1, 1}}, "bind 1.1", "drop 1.0")
	r.expect(sec, AttemptStarted{AttemptID{1, 0}}, "drop 1.0")
	r.expect(sec, AttemptEnded{Attempt: AttemptID{1, 1}, Result: policy.ResultReset}) // a broken stream ends the authorisation
	if c := r.pools[0].counts; c.Broken != 1 || c.Outcomes[policy.ResultCancelled] != 1 || len(r.auths) != 0 {
		t.Errorf("counters %+v, %d open", c, len(r.auths))
	}
}

func TestLegTimeout(t *testing.T) {
	r := newRig(t, 3, nil)
	r.turn(0, taken("a", r.now, 4*sec))
	for _, name := range []string{"h0", "h1", "h2"} {
		if id := r.pools[0].hostID(name); id != r.auths[1].legs[0].host {
			r.pools[0].Send(1, id, sec)
			break
		}
	}
	r.expect(sec, Tick{}, "drop 1.1") // the first leg stays out
	if n := r.pools[0].counts.Outcomes[policy.ResultTimedOut]; n != 1 || r.auths[1].running != 1 {
		t.Errorf("%d time-outs, %d running", n, r.auths[1].running)
	}
}

func TestDeparted(t *testing.T) {
	for name, begun := range map[string]bool{"waiting": false, "streaming": true} {
		r := newRig(t, 2, nil)
		r.turn(0, taken("a", r.now, 4*sec))
		if begun {
			r.turn(0, AttemptStarted{AttemptID{1, 0}})
		}
		r.expect(sec, ClientLeft{"a"}, "drop 1.0")
		r.expect(sec, ClientLeft{"a"})
		if c := r.pools[0].counts; c.ClientsLeft != 1 || c.Outcomes[policy.ResultCancelled] != 1 || len(r.auths) != 0 {
			t.Errorf("%s: counters %+v, %d open", name, c, len(r.auths))
		}
	}
}

func TestNoRoom(t *testing.T) {
	// More authorisations than there are descriptors are declined before the module hears of them.
	r := newRig(t, 2, func(l *limits.Limits) { l.ConcurrentRequests = 1 })
	r.turn(0, taken("a", r.now, 4*sec))
	r.expect(0, taken("b", r.now, 4*sec), "decline b refused after 500ms")
	if c := r.pools[0].counts; c.Received != 1 || c.RejectedByFrontend != 1 {
		t.Errorf("counters %+v", c)
	}
}

func TestClockNeverGoesBack(t *testing.T) {
	r := newRig(t, 2, nil)
	r.turn(2*sec, Tick{})
	r.expect(0, taken("a", r.now+2*sec, 4*sec), "send 1.0 for 4s")
	r.expect(6*sec, Tick{}, "drop 1.0", "decline a failed after 0s")
}

func TestParkedLineIsHungUp(t *testing.T) {
	r := newRig(t, 0, nil)
	r.expect(0, ConnectionIdle{3, 4 * sec})
	r.expect(4*sec-1, Tick{})
	r.expect(4*sec, Tick{}, "hang up 3") // a second before the host would
}

func TestReminder(t *testing.T) {
	r := newRig(t, 0, nil)
	r.expect(0, SetReminder{At: r.now + sec, Token: "line"})
	r.expect(sec-1, Tick{})
	r.expect(sec, Tick{}, "remind line")
	r.expect(2*sec, Tick{})
}

func TestGoneHostGetsNothing(t *testing.T) {
	r := newRig(t, 1, nil)
	r.expect(0, EndpointsListed{Kind: policy.ListDelta, Hosts: []Host{{Name: "h0", State: policy.StateGone}}})
	r.expect(0, taken("a", r.now, 4*sec), "decline a refused after 500ms")
}

func TestHostIDs(t *testing.T) {
	// Every router must give a host the same number, since the module draws by it.
	x, y := newRig(t, 3, nil), newRig(t, 9, nil)
	if x.pools[0].hostID("h2") != y.pools[0].hostID("h2") || x.pools[0].hostID("h1") == x.pools[0].hostID("h2") {
		t.Error("host ids differ between routers, or are shared")
	}
}

func TestImports(t *testing.T) {
	// The core deals in no wire: neither it nor what it is built on may come to know one.
	out, err := exec.CommandContext(t.Context(), "go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	deps := strings.Fields(string(out))
	for _, p := range deps {
		if p == "net" || strings.HasPrefix(p, "net/") || strings.HasPrefix(p, "encoding/json") {
			t.Errorf("the broker depends on %s", p)
		}
	}
	if len(deps) < 5 {
		t.Errorf("only %d packages listed", len(deps))
	}
}

func TestHostsThatHaveGoneAreForgotten(t *testing.T) {
	// Guards against growth on a day on which hosts are replaced by others, one after the other.
	r := newRig(t, 3, nil)
	host := func(i int, s policy.State) Host {
		return Host{Name: fmt.Sprint("h", i), Addr: "d", Weight: 1, State: s}
	}
	for i := range 500 {
		r.turn(0, EndpointsListed{Kind: policy.ListDelta, Hosts: []Host{host(i, policy.StateGone), host(i+3, policy.StateReady)}})
	}
	if len(r.pools[0].hosts) != 3 || len(r.pools[0].hostNames) != 3 {
		t.Errorf("%d hosts, %d names after deltas", len(r.pools[0].hosts), len(r.pools[0].hostNames))
	}
	r.turn(0, EndpointsListed{Kind: policy.ListFull, Hosts: []Host{host(9000, policy.StateReady)}})
	r.turn(0, EndpointsListed{Kind: policy.ListFailed})
	if len(r.pools[0].hosts) != 1 || len(r.pools[0].hostNames) != 1 {
		t.Errorf("%d hosts, %d names after a whole list", len(r.pools[0].hosts), len(r.pools[0].hostNames))
	}
}

func TestLeavingAtTheDeadlineIsATimeOut(t *testing.T) {
	// A client that gives up when its time is over closes its connection a moment before the deadline is noticed here.
	// Taken for a leg that was called off, this told the module nothing: on sockets it never saw an overload.
	for _, c := range []struct {
		at   time.Duration
		want policy.Result
	}{{4*sec - 2*time.Millisecond, policy.ResultTimedOut}, {3 * sec, policy.ResultCancelled}} {
		r := newRig(t, 2, nil)
		r.turn(0, taken("a", r.now, 4*sec))
		r.expect(c.at, ClientLeft{"a"}, "drop 1.0")
		if r.pools[0].counts.Outcomes[c.want] != 1 || r.pools[0].counts.ClientsLeft != 1 {
			t.Errorf("left after %v: %+v", c.at, r.counts)
		}
	}
	r := newRig(t, 2, nil)
	r.turn(0, taken("a", r.now, 4*sec))
	r.turn(sec, AttemptStarted{AttemptID{1, 0}})
	r.turn(4*sec-1, ClientLeft{"a"}) // in its stream, whose time is not the deadline's
	if r.pools[0].counts.Outcomes[policy.ResultCancelled] != 1 {
		t.Errorf("left in its stream: %+v", r.counts)
	}
}

// TestPartOfTheBudgetChanges: a router is told how many share what may be sent again; it holds from the next repeat on.
func TestPartOfTheBudgetChanges(t *testing.T) {
	r := newRig(t, 3, nil)
	r.Reduce(r.now, ConfigurePool{RetryBudget: &retrybudget.Budget{Allowance: 5, Window: 10 * sec}})
	r.expect(0, taken("a", r.now, 4*sec), "send 1.0 for 4s")
	if again := r.turn(0, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultFull}); len(again) != 1 || again[0] != "send 1.1 for 4s" {
		t.Fatalf("within its part: %v", again)
	}
	r.Reduce(r.now, RetryAllowance(1.9)) // one was sent already
	r.expect(sec, taken("b", r.now+sec, 4*sec), "send 2.0 for 4s")
	if again := r.turn(sec, AttemptEnded{Attempt: AttemptID{2, 0}, Result: policy.ResultFull}); len(again) != 1 || !strings.HasPrefix(again[0], "decline b ") {
		t.Errorf("beyond its part: %v", again)
	}
	for lives := 1; lives < 2000; lives++ { // all start anew within a window: the old ones' parts and the new ones'
		if sum := float64(lives)/limits.RetryShares(lives) + float64(lives)/limits.RetryShares(2*lives); sum > 1.0001 {
			t.Fatalf("%d routers that start anew may send %.2f of the whole", lives, sum)
		}
	}
}

// TestMisdirectedCounts: 421 is another host's word. It has not run, and has arrived at the service all the same: the next is a repeat.
func TestMisdirectedCounts(t *testing.T) {
	for _, arrived := range []bool{false, true} {
		r := newRig(t, 3, nil)
		r.Reduce(r.now, ConfigurePool{RetryBudget: &retrybudget.Budget{Allowance: 1, Window: 10 * sec}})
		r.expect(0, taken("a", r.now, 4*sec), "send 1.0 for 4s")
		r.expect(0, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultConnectFailed, ReachedOtherHost: arrived}, "send 1.1 for 4s")
		again := r.turn(0, AttemptEnded{Attempt: AttemptID{1, 1}, Result: policy.ResultConnectFailed, ReachedOtherHost: arrived})
		if sent := len(again) == 1 && again[0] == "send 1.2 for 4s"; sent == arrived {
			t.Errorf("arrived %v: %v", arrived, again)
		}
	}
}
