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

func testSettings() policy.Settings {
	return policy.Settings{
		Routers: 1, Zones: 1, SlowStartInitial: 0.5, SlowStart: sec, DrainGrace: sec / 2, NeedsWatch: true, MaxWatchDelay: 10 * sec,
		Classes: []policy.Class{{Name: "chat", TargetLatency: sec, Deadline: 10 * sec, Value: 1, IsStreaming: true}},
		Limits:  policy.Limits{CanCancel: true, CanProbe: true, SendsRetryAfter: true, MaxAttempts: 3, MaxRetryAfter: 2 * sec},
	}
}

// fixture is a dispatcher with one pool of hosts, and a clock that the test advances.
type fixture struct {
	*Dispatcher
	t   *testing.T
	now time.Duration
}

func newModule(t testing.TB) *policy.Balancer {
	t.Helper()
	m, err := policy.New(testSettings(), 7)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func newFixture(t *testing.T, hosts int, change func(*limits.Limits)) *fixture {
	t.Helper()
	lim := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024},
		limits.Site{ConnectTimeout: sec / 10, UpstreamIdleClose: 5 * sec, MaxAttempts: 3, MaxDeadline: 10 * sec})
	if change != nil {
		change(&lim)
	}
	f := &fixture{Dispatcher: New(lim), t: t, now: 1000 * sec}
	f.Reduce(f.now, ConfigurePool{Module: newModule(t), SlowStart: sec, SlowStartInitial: 0.5})
	var l EndpointsListed
	for i := range hosts {
		l.Hosts = append(l.Hosts, Host{Name: fmt.Sprint("h", i), Addr: fmt.Sprint("d", i), Weight: 1})
	}
	l.Kind = policy.ListFull
	f.Reduce(f.now, l)
	return f
}

// reduce reduces an event at a time after the start of the test, and describes each effect in a short text.
func (f *fixture) reduce(at time.Duration, e Event) []string {
	var descriptions []string
	for _, effect := range f.Reduce(f.now+at, e) {
		switch effect := effect.(type) {
		case StartAttempt:
			descriptions = append(descriptions, fmt.Sprintf("send %d.%d for %v", effect.Attempt.Request, effect.Attempt.Index, effect.Timeout))
		case BindAttempt:
			descriptions = append(descriptions, fmt.Sprintf("bind %d.%d", effect.Attempt.Request, effect.Attempt.Index))
		case CancelAttempt:
			descriptions = append(descriptions, fmt.Sprintf("cancel %d.%d", effect.Attempt.Request, effect.Attempt.Index))
		case Reject:
			descriptions = append(descriptions, fmt.Sprintf("reject %v %s after %v", effect.Client, [...]string{"rejected", "failed", "duplicate"}[effect.Verdict], effect.RetryAfter))
		case CloseIdleConnection:
			descriptions = append(descriptions, fmt.Sprintf("close idle %d", effect.Connection))
		case ReminderDue:
			descriptions = append(descriptions, fmt.Sprint("remind ", effect.Token))
		case SendProbe:
			descriptions = append(descriptions, "probe "+effect.Addr)
		}
	}
	return descriptions
}

// expect reduces an event and compares the descriptions of its effects.
func (f *fixture) expect(at time.Duration, e Event, want ...string) {
	f.t.Helper()
	if diff := cmp.Diff(want, f.reduce(at, e)); diff != "" {
		f.t.Fatalf("after %T at %v (-want +got):\n%s", e, at, diff)
	}
}

func requestFrom(client string, at, timeout time.Duration) RequestReceived {
	return RequestReceived{Client: client, ReceivedAt: at, Request: policy.Request{Session: 9, Timeout: timeout}}
}

func TestServedAttempt(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.expect(0, requestFrom("a", f.now, 4*sec), "send 1.0 for 4s")
	f.expect(sec, AttemptStarted{AttemptID{1, 0}}, "bind 1.0")
	f.expect(9*sec, Tick{}) // the deadline does not apply once the response has begun
	f.expect(9*sec, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultOK})
	f.expect(9*sec, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultReset}) // a second outcome is ignored
	if c := f.pools[0].counters; c.Served != 1 || c.Outcomes[policy.ResultOK] != 1 || c.Outcomes[policy.ResultReset] != 0 || len(f.requests) != 0 {
		t.Errorf("counters %+v, %d open requests", c, len(f.requests))
	}
}

func TestDeadlineAnswersAtOnce(t *testing.T) {
	// Guards against a request that stays open past its deadline because its hosts do not respond.
	f := newFixture(t, 2, nil)
	f.expect(sec, requestFrom("a", f.now, 4*sec), "send 1.0 for 3s") // the deadline counts from the last byte of the request
	f.expect(4*sec-1, Tick{})
	f.expect(4*sec, Tick{}, "cancel 1.0", "reject a failed after 0s")
	f.expect(5*sec, AttemptStarted{AttemptID{1, 0}}, "cancel 1.0") // too late: the client has its answer
	f.expect(5*sec, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultCancelled})
	if n := f.pools[0].counters.Outcomes[policy.ResultTimedOut]; n != 1 || f.OpenRequests() != 0 {
		t.Errorf("%d timed-out attempts, %d open requests", n, f.OpenRequests())
	}
}

func TestDuplicateIDIsRejected(t *testing.T) {
	// A second request with the ID of an open one could run the same work twice.
	f := newFixture(t, 2, nil)
	second := requestFrom("b", f.now, 4*sec)
	first := requestFrom("a", f.now, 4*sec)
	first.ClientRequestID, second.ClientRequestID = "9b1f", "9b1f"
	f.expect(0, first, "send 1.0 for 4s")
	f.expect(0, second, "reject b duplicate after 0s")
	f.expect(sec, AttemptStarted{AttemptID{1, 0}}, "bind 1.0")
	f.expect(sec, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultOK})
	second.ReceivedAt = f.now + sec
	f.expect(sec, second, "send 2.0 for 4s")
}

func TestAttemptsAreCapped(t *testing.T) {
	// Guards against more attempts than the maximum of three.
	f := newFixture(t, 5, nil)
	f.expect(0, requestFrom("a", f.now, 4*sec), "send 1.0 for 4s")
	f.expect(sec, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultConnectFailed}, "send 1.1 for 3s")
	f.expect(sec, AttemptEnded{Attempt: AttemptID{1, 1}, Result: policy.ResultFull}, "send 1.2 for 3s")
	f.expect(sec, AttemptEnded{Attempt: AttemptID{1, 2}, Result: policy.ResultFull}, "reject a rejected after 500ms")
	f.pools[0].Send(1, 0, 0) // the request is closed: no effect and no attempt
	if f.pools[0].counters.Attempts != 3 {
		t.Errorf("%d attempts were sent, want 3", f.pools[0].counters.Attempts)
	}
}

func TestAttemptsOfEndedRequestsAreNotSent(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reduce(0, requestFrom("a", f.now, 4*sec))
	f.reduce(0, AttemptStarted{AttemptID{1, 0}})
	for name, host := range map[string]policy.ReplicaID{"bound": f.pools[0].hostID("h1"), "unknown host": 1} {
		f.effects = nil
		f.pools[0].Send(1, host, 0)
		f.runDeferred()
		if len(f.effects) != 0 {
			t.Errorf("%s: unexpected effects %v", name, f.effects)
		}
	}
	if n := f.pools[0].counters.Outcomes[policy.ResultNotSent]; n != 2 {
		t.Errorf("%d attempts ended with ResultNotSent, want 2", n)
	}
}

func TestFirstEventBindsTheRequest(t *testing.T) {
	// With two attempts running, the first event binds the request to its attempt and the other attempt is cancelled.
	f := newFixture(t, 2, nil)
	f.reduce(0, requestFrom("a", f.now, 4*sec))
	for _, name := range []string{"h0", "h1"} {
		if id := f.pools[0].hostID(name); id != f.requests[1].attempts[0].host {
			f.pools[0].Send(1, id, 0)
		}
	}
	f.expect(sec, AttemptStarted{AttemptID{1, 1}}, "bind 1.1", "cancel 1.0")
	f.expect(sec, AttemptStarted{AttemptID{1, 0}}, "cancel 1.0")
	f.expect(sec, AttemptEnded{Attempt: AttemptID{1, 1}, Result: policy.ResultReset}) // the end of the bound attempt ends the request, even if the stream breaks
	if c := f.pools[0].counters; c.Broken != 1 || c.Outcomes[policy.ResultCancelled] != 1 || len(f.requests) != 0 {
		t.Errorf("counters %+v, %d open requests", c, len(f.requests))
	}
}

func TestAttemptTimeout(t *testing.T) {
	f := newFixture(t, 3, nil)
	f.reduce(0, requestFrom("a", f.now, 4*sec))
	for _, name := range []string{"h0", "h1", "h2"} {
		if id := f.pools[0].hostID(name); id != f.requests[1].attempts[0].host {
			f.pools[0].Send(1, id, sec)
			break
		}
	}
	f.expect(sec, Tick{}, "cancel 1.1") // the first attempt keeps running
	if n := f.pools[0].counters.Outcomes[policy.ResultTimedOut]; n != 1 || f.requests[1].running != 1 {
		t.Errorf("%d timed-out attempts, %d running", n, f.requests[1].running)
	}
}

func TestClientDisconnectCancelsAttempts(t *testing.T) {
	for name, begun := range map[string]bool{"waiting": false, "streaming": true} {
		f := newFixture(t, 2, nil)
		f.reduce(0, requestFrom("a", f.now, 4*sec))
		if begun {
			f.reduce(0, AttemptStarted{AttemptID{1, 0}})
		}
		f.expect(sec, ClientLeft{"a"}, "cancel 1.0")
		f.expect(sec, ClientLeft{"a"})
		if c := f.pools[0].counters; c.ClientsLeft != 1 || c.Outcomes[policy.ResultCancelled] != 1 || len(f.requests) != 0 {
			t.Errorf("%s: counters %+v, %d open requests", name, c, len(f.requests))
		}
	}
}

func TestRequestsBeyondTheLimitAreRejected(t *testing.T) {
	// Requests beyond the limit on concurrent requests must not reach the module.
	f := newFixture(t, 2, func(l *limits.Limits) { l.ConcurrentRequests = 1 })
	f.reduce(0, requestFrom("a", f.now, 4*sec))
	f.expect(0, requestFrom("b", f.now, 4*sec), "reject b rejected after 500ms")
	if c := f.pools[0].counters; c.Received != 1 || c.RejectedBeforeModule != 1 {
		t.Errorf("unexpected counters %+v", c)
	}
}

func TestClockNeverGoesBack(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reduce(2*sec, Tick{})
	f.expect(0, requestFrom("a", f.now+2*sec, 4*sec), "send 1.0 for 4s")
	f.expect(6*sec, Tick{}, "cancel 1.0", "reject a failed after 0s")
}

func TestIdleConnectionIsClosed(t *testing.T) {
	f := newFixture(t, 0, nil)
	f.expect(0, ConnectionIdle{3, 4 * sec})
	f.expect(4*sec-1, Tick{})
	f.expect(4*sec, Tick{}, "close idle 3") // a second before the host would
}

func TestReminder(t *testing.T) {
	f := newFixture(t, 0, nil)
	f.expect(0, SetReminder{At: f.now + sec, Token: "line"})
	f.expect(sec-1, Tick{})
	f.expect(sec, Tick{}, "remind line")
	f.expect(2*sec, Tick{})
}

func TestGoneHostReceivesNoAttempt(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.expect(0, EndpointsListed{Kind: policy.ListDelta, Hosts: []Host{{Name: "h0", State: policy.StateGone}}})
	f.expect(0, requestFrom("a", f.now, 4*sec), "reject a rejected after 500ms")
}

func TestHostIDsAreHashesOfNames(t *testing.T) {
	// Every router must derive the same ID for a host, since the module's choices depend on the IDs.
	x, y := newFixture(t, 3, nil), newFixture(t, 9, nil)
	if x.pools[0].hostID("h2") != y.pools[0].hostID("h2") || x.pools[0].hostID("h1") == x.pools[0].hostID("h2") {
		t.Error("host IDs differ between routers, or two hosts have the same ID")
	}
}

func TestDispatchImportsNoNetwork(t *testing.T) {
	// Neither the reducer nor its dependencies may use the network.
	out, err := exec.CommandContext(t.Context(), "go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	deps := strings.Fields(string(out))
	for _, p := range deps {
		if p == "net" || strings.HasPrefix(p, "net/") || strings.HasPrefix(p, "encoding/json") {
			t.Errorf("package dispatch depends on %s", p)
		}
	}
	if len(deps) < 5 {
		t.Errorf("only %d packages listed", len(deps))
	}
}

func TestGoneHostsAreRemoved(t *testing.T) {
	// Guards against maps that grow as hosts are replaced.
	f := newFixture(t, 3, nil)
	host := func(i int, s policy.State) Host {
		return Host{Name: fmt.Sprint("h", i), Addr: "d", Weight: 1, State: s}
	}
	for i := range 500 {
		f.reduce(0, EndpointsListed{Kind: policy.ListDelta, Hosts: []Host{host(i, policy.StateGone), host(i+3, policy.StateReady)}})
	}
	if len(f.pools[0].hosts) != 3 || len(f.pools[0].hostIDs) != 3 {
		t.Errorf("%d hosts, %d names after deltas", len(f.pools[0].hosts), len(f.pools[0].hostIDs))
	}
	f.reduce(0, EndpointsListed{Kind: policy.ListFull, Hosts: []Host{host(9000, policy.StateReady)}})
	f.reduce(0, EndpointsListed{Kind: policy.ListFailed})
	if len(f.pools[0].hosts) != 1 || len(f.pools[0].hostIDs) != 1 {
		t.Errorf("%d hosts, %d names after a full list", len(f.pools[0].hosts), len(f.pools[0].hostIDs))
	}
}

func TestDisconnectAtTheDeadlineCountsAsTimeout(t *testing.T) {
	// A client that gives up at its deadline disconnects shortly before the deadline timer fires. If its attempts ended as
	// cancelled, the module could not detect overload.
	for _, c := range []struct {
		at   time.Duration
		want policy.Result
	}{{4*sec - 2*time.Millisecond, policy.ResultTimedOut}, {3 * sec, policy.ResultCancelled}} {
		f := newFixture(t, 2, nil)
		f.reduce(0, requestFrom("a", f.now, 4*sec))
		f.expect(c.at, ClientLeft{"a"}, "cancel 1.0")
		if f.pools[0].counters.Outcomes[c.want] != 1 || f.pools[0].counters.ClientsLeft != 1 {
			t.Errorf("disconnected after %v: counters %+v", c.at, f.counters)
		}
	}
	f := newFixture(t, 2, nil)
	f.reduce(0, requestFrom("a", f.now, 4*sec))
	f.reduce(sec, AttemptStarted{AttemptID{1, 0}})
	f.reduce(4*sec-1, ClientLeft{"a"}) // while its response streams, which the deadline does not bound
	if f.pools[0].counters.Outcomes[policy.ResultCancelled] != 1 {
		t.Errorf("disconnected during the response: counters %+v", f.counters)
	}
}

// TestRetryAllowanceAppliesFromTheNextRetry changes the allowance while requests are open.
func TestRetryAllowanceAppliesFromTheNextRetry(t *testing.T) {
	f := newFixture(t, 3, nil)
	f.Reduce(f.now, ConfigurePool{RetryBudget: &retrybudget.Budget{Allowance: 5, Window: 10 * sec}})
	f.expect(0, requestFrom("a", f.now, 4*sec), "send 1.0 for 4s")
	if again := f.reduce(0, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultFull}); len(again) != 1 || again[0] != "send 1.1 for 4s" {
		t.Fatalf("within the allowance: %v", again)
	}
	f.Reduce(f.now, RetryAllowance(1.9)) // one retry was sent already
	f.expect(sec, requestFrom("b", f.now+sec, 4*sec), "send 2.0 for 4s")
	if again := f.reduce(sec, AttemptEnded{Attempt: AttemptID{2, 0}, Result: policy.ResultFull}); len(again) != 1 || !strings.HasPrefix(again[0], "reject b ") {
		t.Errorf("beyond the allowance: %v", again)
	}
	for routers := 1; routers < 2000; routers++ { // all restart within a window: the shares of the old and of the new incarnations
		if sum := float64(routers)/limits.RetryShares(routers) + float64(routers)/limits.RetryShares(2*routers); sum > 1.0001 {
			t.Fatalf("%d restarted routers may send %.2f of the total", routers, sum)
		}
	}
}

// TestAnswerOfAnotherHostCountsAsSent checks that an attempt answered by another host (status 421) counts as sent although it has
// not run: the next attempt is a retry that the budget must allow.
func TestAnswerOfAnotherHostCountsAsSent(t *testing.T) {
	for _, reachedOtherHost := range []bool{false, true} {
		f := newFixture(t, 3, nil)
		f.Reduce(f.now, ConfigurePool{RetryBudget: &retrybudget.Budget{Allowance: 1, Window: 10 * sec}})
		f.expect(0, requestFrom("a", f.now, 4*sec), "send 1.0 for 4s")
		f.expect(0, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultConnectFailed, ReachedOtherHost: reachedOtherHost}, "send 1.1 for 4s")
		again := f.reduce(0, AttemptEnded{Attempt: AttemptID{1, 1}, Result: policy.ResultConnectFailed, ReachedOtherHost: reachedOtherHost})
		if sent := len(again) == 1 && again[0] == "send 1.2 for 4s"; sent == reachedOtherHost {
			t.Errorf("reached another host %v: %v", reachedOtherHost, again)
		}
	}
}
