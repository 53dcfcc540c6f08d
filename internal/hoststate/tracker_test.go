package hoststate

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"notchhinge/policy"
)

const drainPrecedence = 30 * time.Second

var host = Host{"b1", "127.0.0.1:9"}

func ready(id policy.ReplicaID, startedAt time.Duration) Update {
	return Update{Replica: id, State: policy.StateReady, StartedAt: startedAt}
}

func TestDrainIsNotifiedToTheOtherPoolOnce(t *testing.T) {
	tracker := NewTracker(drainPrecedence)
	tracker.Update(0, 1, host, ready(11, 5))
	tracker.Update(0, 2, host, ready(21, 5))
	state, notified := tracker.Update(1, 1, host, Update{Replica: 11, State: policy.StateDraining, StartedAt: 5})
	if state != policy.StateDraining || !cmp.Equal(notified, []Notification{{2, 21, policy.StateDraining}}) {
		t.Errorf("got %v, %v", state, notified)
	}
	if _, notified = tracker.Update(2, 1, host, Update{Replica: 11, State: policy.StateDraining, StartedAt: 5}); len(notified) != 0 {
		t.Errorf("the drain was notified twice: %v", notified)
	}
	if state, _ = tracker.Update(3, 2, host, ready(21, 5)); state != policy.StateDraining {
		t.Errorf("after the other pool's stale list the host is %v", state)
	}
	if _, notified = tracker.Update(4, 1, host, Update{State: policy.StateGone}); !cmp.Equal(notified, []Notification{{2, 21, policy.StateGone}}) {
		t.Errorf("after the host is gone: got %v", notified)
	}
	if state, _ = tracker.Update(5, 2, host, ready(21, 6)); state != policy.StateReady {
		t.Errorf("a new process at the address is %v", state)
	}
}

func TestWithdrawnDrainIsNotified(t *testing.T) {
	tracker := NewTracker(drainPrecedence)
	tracker.Update(0, 1, host, ready(11, 5))
	tracker.Update(0, 2, host, ready(21, 5))
	tracker.Update(1, 1, host, Update{Replica: 11, State: policy.StateDraining, StartedAt: 5})
	state, notified := tracker.Update(2, 1, host, ready(11, 5))
	if state != policy.StateReady || !cmp.Equal(notified, []Notification{{2, 21, policy.StateReady}}) {
		t.Errorf("got %v, %v", state, notified)
	}
}

func TestStaleListPrevailsAfterDrainPrecedence(t *testing.T) {
	tracker := NewTracker(drainPrecedence)
	tracker.Update(0, 1, host, ready(1, 5))
	tracker.Update(0, 2, host, ready(2, 5))
	tracker.Update(time.Second, 1, host, Update{State: policy.StateGone})
	if state, _ := tracker.Update(time.Second+drainPrecedence, 2, host, ready(2, 5)); state != policy.StateGone {
		t.Errorf("within the drain precedence: %v", state)
	}
	if state, _ := tracker.Update(time.Second+drainPrecedence+1, 2, host, ready(2, 5)); state != policy.StateReady {
		t.Errorf("after it: %v", state)
	}
}

func TestDeselectedHostIsNotNotified(t *testing.T) {
	tracker := NewTracker(drainPrecedence)
	tracker.Update(0, 1, host, ready(1, 5))
	tracker.Update(0, 2, host, ready(2, 5))
	if _, notified := tracker.Update(1, 1, host, Update{State: policy.StateGone, Deselected: true}); len(notified) != 0 {
		t.Errorf("got %v", notified)
	}
	if state, _ := tracker.Update(2, 2, host, ready(2, 5)); state != policy.StateReady {
		t.Errorf("got %v", state)
	}
}

func TestOneNameAtTwoAddressesIsTwoHosts(t *testing.T) {
	tracker := NewTracker(drainPrecedence)
	tracker.Update(0, 1, Host{"b1", "127.0.0.1:1"}, ready(1, 5))
	tracker.Update(0, 2, Host{"b1", "127.0.0.1:2"}, ready(1, 5))
	if _, notified := tracker.Update(1, 1, Host{"b1", "127.0.0.1:1"}, Update{State: policy.StateGone}); len(notified) != 0 || tracker.Len() != 1 {
		t.Errorf("got %v, %d hosts", notified, tracker.Len())
	}
}

// poolsModel sends updates of three pools that share one host, and records what their modules see.
type poolsModel struct {
	tracker *Tracker
	now     time.Duration
	sees    map[PoolID]Update

	hasEnded bool // a list reported an end, and no later process has started
	end      Update
	endAt    time.Duration
	endedBy  PoolID
	endState policy.State
}

// TestNoPoolSeesAnEndedHostAsReady sends random updates of three pools' lists. Once one list has reported an end, no other pool may
// see the host as ready until a later process has started or the drain precedence has passed.
func TestNoPoolSeesAnEndedHostAsReady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &poolsModel{tracker: NewTracker(drainPrecedence), sees: map[PoolID]Update{}, endState: policy.StateReady}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			p.step(t)
		}
		for id := range p.sees {
			p.tracker.RemovePool(id)
		}
		if p.tracker.Len() != 0 {
			t.Fatalf("%d hosts are left", p.tracker.Len())
		}
	})
}

// step sends a random update of one pool's list.
func (p *poolsModel) step(t *rapid.T) {
	t.Helper()
	p.now += time.Duration(rapid.IntRange(1, 10000).Draw(t, "ms")) * time.Millisecond
	id := PoolID(rapid.IntRange(0, 2).Draw(t, "pool"))
	update := Update{
		Replica: policy.ReplicaID(id), State: policy.State(rapid.IntRange(0, 2).Draw(t, "state")),
		StartedAt: time.Duration(rapid.IntRange(1, 3).Draw(t, "born")),
	}
	update.Deselected = update.State == policy.StateGone && rapid.Bool().Draw(t, "left")
	previous, wasListed := p.sees[id]
	state, notified := p.tracker.Update(p.now, id, host, update)
	p.checkOwnState(t, id, update, state)
	if update.State == policy.StateGone {
		delete(p.sees, id)
	} else {
		seen := update
		seen.State = state
		p.sees[id] = seen
	}
	p.applyNotifications(t, id, notified)
	isDrain := update.State == policy.StateDraining && state == policy.StateDraining
	if isDrain || update.State == policy.StateGone && wasListed && !update.Deselected && len(p.sees) > 0 {
		if update.State == policy.StateGone {
			update.StartedAt = previous.StartedAt
		}
		p.recordEnd(t, id, update)
	}
	if state == policy.StateReady && update.State == policy.StateReady || len(p.sees) == 0 {
		p.hasEnded = false
	}
}

// checkOwnState checks the state that a pool must see after an update of its own list.
func (p *poolsModel) checkOwnState(t *rapid.T, id PoolID, update Update, state policy.State) {
	t.Helper()
	if update.State != policy.StateReady && state != update.State {
		t.Fatalf("listed as %v, seen as %v", update.State, state)
	}
	isReady := update.State == policy.StateReady && state == policy.StateReady
	if isReady && p.hasEnded && update.StartedAt <= p.end.StartedAt && p.now-p.endAt <= drainPrecedence && id != p.endedBy {
		t.Fatalf("pool %d sees a host as ready whose process ended %v ago", id, p.now-p.endAt)
	}
}

// applyNotifications applies the notifications to what the other pools see.
func (p *poolsModel) applyNotifications(t *rapid.T, id PoolID, notified []Notification) {
	t.Helper()
	for _, n := range notified {
		s, has := p.sees[n.Pool]
		if !has || n.Pool == id || n.State != policy.StateReady && s.State >= n.State {
			t.Fatalf("pool %d is notified of %v, but sees %v (has the host: %v)", n.Pool, n.State, s.State, has)
		}
		s.State = n.State
		p.sees[n.Pool] = s
	}
}

// recordEnd records the end that a list reported and checks that all other pools see it.
func (p *poolsModel) recordEnd(t *rapid.T, id PoolID, end Update) {
	t.Helper()
	if !p.hasEnded || end.StartedAt > p.end.StartedAt || end.StartedAt == p.end.StartedAt && end.State > p.endState {
		p.hasEnded, p.end, p.endAt, p.endedBy, p.endState = true, end, p.now, id, end.State
	}
	for other, s := range p.sees {
		if s.State == policy.StateReady && s.StartedAt <= end.StartedAt {
			t.Fatalf("pool %d's list reported an end, but pool %d still sees the host as ready", id, other)
		}
	}
}

// TestSlowStartShareBoundsAllPoolsTogether lets two pools send as many requests as TryTakeSlowStart allows.
func TestSlowStartShareBoundsAllPoolsTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker(drainPrecedence)
		tracker.Update(0, 1, host, ready(1, 5))
		tracker.Update(0, 2, host, ready(2, 5))
		share := rapid.Float64Range(0.01, 1).Draw(t, "share")
		hosts := [2]float64{rapid.Float64Range(1, 8).Draw(t, "hosts 1"), rapid.Float64Range(1, 8).Draw(t, "hosts 2")}
		var arrived [2]float64
		allowed, sent := 1.0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			p := rapid.IntRange(0, 1).Draw(t, "pool")
			n := float64(rapid.IntRange(0, 2).Draw(t, "arrivals"))
			arrived[p] += n
			allowed += share * n / hosts[p]
			if tracker.TryTakeSlowStart(host, 5, []PoolTraffic{{1, arrived[0], hosts[0], share}, {2, arrived[1], hosts[1], share}}) {
				sent++
			}
			if sent > allowed+1e-9 {
				t.Fatalf("%v requests were sent, %v are allowed", sent, allowed)
			}
		}
	})
}

func TestSlowStartShare(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want float64
	}{{0, 0.2}, {5 * time.Second, 0.6}, {10 * time.Second, 1}, {time.Minute, 1}, {-time.Second, 0.2}} {
		if got := SlowStartShare(c.age, 10*time.Second, 0.2); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("at age %v: %v, want %v", c.age, got, c.want)
		}
	}
}
