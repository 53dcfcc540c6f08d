package pool

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"notchhinge/policy"
)

const overlap = 30 * time.Second

var box = Box{"b1", "127.0.0.1:9"}

func ready(id policy.ReplicaID, born time.Duration) Told {
	return Told{Replica: id, State: policy.Ready, BornAt: born}
}

func TestADrainIsToldToTheOtherPoolOnce(t *testing.T) {
	b := NewBoxes(overlap)
	b.Told(0, 1, box, ready(11, 5))
	b.Told(0, 2, box, ready(21, 5))
	state, words := b.Told(1, 1, box, Told{Replica: 11, State: policy.Draining, BornAt: 5})
	if state != policy.Draining || !cmp.Equal(words, []Word{{2, 21, policy.Draining}}) {
		t.Errorf("got %v, %v", state, words)
	}
	if _, words = b.Told(2, 1, box, Told{Replica: 11, State: policy.Draining, BornAt: 5}); len(words) != 0 {
		t.Errorf("it was told twice: %v", words)
	}
	if state, _ = b.Told(3, 2, box, ready(21, 5)); state != policy.Draining {
		t.Errorf("the other pool's list, which is behind, made it %v again", state)
	}
	if _, words = b.Told(4, 1, box, Told{State: policy.Gone}); !cmp.Equal(words, []Word{{2, 21, policy.Gone}}) {
		t.Errorf("gone: got %v", words)
	}
	if state, _ = b.Told(5, 2, box, ready(21, 6)); state != policy.Ready {
		t.Errorf("a new process at its place is %v", state)
	}
}

func TestADrainTakenBack(t *testing.T) {
	b := NewBoxes(overlap)
	b.Told(0, 1, box, ready(11, 5))
	b.Told(0, 2, box, ready(21, 5))
	b.Told(1, 1, box, Told{Replica: 11, State: policy.Draining, BornAt: 5})
	state, words := b.Told(2, 1, box, ready(11, 5))
	if state != policy.Ready || !cmp.Equal(words, []Word{{2, 21, policy.Ready}}) {
		t.Errorf("got %v, %v", state, words)
	}
}

func TestAListThatIsBehindPrevailsInTheEnd(t *testing.T) {
	b := NewBoxes(overlap)
	b.Told(0, 1, box, ready(1, 5))
	b.Told(0, 2, box, ready(2, 5))
	b.Told(time.Second, 1, box, Told{State: policy.Gone})
	if state, _ := b.Told(time.Second+overlap, 2, box, ready(2, 5)); state != policy.Gone {
		t.Errorf("within the overlap: %v", state)
	}
	if state, _ := b.Told(time.Second+overlap+1, 2, box, ready(2, 5)); state != policy.Ready {
		t.Errorf("after it: %v", state)
	}
}

func TestLeavingASelectionSaysNothingOfTheBox(t *testing.T) {
	b := NewBoxes(overlap)
	b.Told(0, 1, box, ready(1, 5))
	b.Told(0, 2, box, ready(2, 5))
	if _, words := b.Told(1, 1, box, Told{State: policy.Gone, Left: true}); len(words) != 0 {
		t.Errorf("got %v", words)
	}
	if state, _ := b.Told(2, 2, box, ready(2, 5)); state != policy.Ready {
		t.Errorf("got %v", state)
	}
}

func TestOneNameAtTwoAddressesIsTwoBoxes(t *testing.T) {
	b := NewBoxes(overlap)
	b.Told(0, 1, Box{"b1", "127.0.0.1:1"}, ready(1, 5))
	b.Told(0, 2, Box{"b1", "127.0.0.1:2"}, ready(1, 5))
	if _, words := b.Told(1, 1, Box{"b1", "127.0.0.1:1"}, Told{State: policy.Gone}); len(words) != 0 || b.Len() != 1 {
		t.Errorf("got %v, %d boxes", words, b.Len())
	}
}

// TestNoPoolSeesAnEndedBoxAsReady plays random lists of three pools: once one pool was told of an end, no other may have
// the box as ready until another process is there or the overlap has passed.
func TestNoPoolSeesAnEndedBoxAsReady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBoxes(overlap)
		var now, endAt time.Duration
		ended, endOf, endBy := false, time.Duration(0), ID(0)
		was := policy.Ready
		sees := map[ID]Told{} // as the module sees it
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 10000).Draw(t, "ms")) * time.Millisecond
			id := ID(rapid.IntRange(0, 2).Draw(t, "pool"))
			told := Told{
				Replica: policy.ReplicaID(id), State: policy.State(rapid.IntRange(0, 2).Draw(t, "state")),
				BornAt: time.Duration(rapid.IntRange(1, 3).Draw(t, "born")),
			}
			told.Left = told.State == policy.Gone && rapid.Bool().Draw(t, "left")
			before, had := sees[id]
			state, words := b.Told(now, id, box, told)
			if told.State != policy.Ready && state != told.State {
				t.Fatalf("told %v, seen as %v", told.State, state)
			}
			if told.State == policy.Ready && state == policy.Ready && ended && told.BornAt <= endOf &&
				now-endAt <= overlap && id != endBy {
				t.Fatalf("pool %d sees a box as ready that ended %v ago", id, now-endAt)
			}
			if told.State == policy.Gone {
				delete(sees, id)
			} else {
				seen := told
				seen.State = state
				sees[id] = seen
			}
			for _, w := range words {
				s, has := sees[w.Pool]
				if !has || w.Pool == id || w.State != policy.Ready && s.State >= w.State {
					t.Fatalf("pool %d is told %v, but has %v (%v)", w.Pool, w.State, s.State, has)
				}
				s.State = w.State
				sees[w.Pool] = s
			}
			if told.State == policy.Draining && state == policy.Draining || told.State == policy.Gone && had && !told.Left && len(sees) > 0 {
				born := told.BornAt
				if told.State == policy.Gone {
					born = before.BornAt
				}
				if !ended || born > endOf || born == endOf && told.State > was {
					ended, endOf, endAt, endBy, was = true, born, now, id, told.State
				}
				for other, s := range sees {
					if s.State == policy.Ready && s.BornAt <= born {
						t.Fatalf("pool %d was told of an end, and %d still sees it as ready", id, other)
					}
				}
			}
			if state == policy.Ready && told.State == policy.Ready || len(sees) == 0 {
				ended = false
			}
		}
		for id := range sees {
			b.Leave(id)
		}
		if b.Len() != 0 {
			t.Fatalf("%d boxes are left", b.Len())
		}
	})
}

// TestAColdBoxIsSentItsShareByAllPoolsTogether has two pools ask for it as often as they like.
func TestAColdBoxIsSentItsShareByAllPoolsTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBoxes(overlap)
		b.Told(0, 1, box, ready(1, 5))
		b.Told(0, 2, box, ready(2, 5))
		share := rapid.Float64Range(0.01, 1).Draw(t, "share")
		usual := [2]float64{rapid.Float64Range(1, 8).Draw(t, "usual 1"), rapid.Float64Range(1, 8).Draw(t, "usual 2")}
		var arrived [2]float64
		may, sent := 1.0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			p := rapid.IntRange(0, 1).Draw(t, "pool")
			n := float64(rapid.IntRange(0, 2).Draw(t, "arrivals"))
			arrived[p] += n
			may += share * n / usual[p]
			if b.MaySend(box, 5, []Traffic{{1, arrived[0], usual[0], share}, {2, arrived[1], usual[1], share}}) {
				sent++
			}
			if sent > may+1e-9 {
				t.Fatalf("%v were sent, %v are allowed", sent, may)
			}
		}
	})
}

func TestWarmth(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want float64
	}{{0, 0.2}, {5 * time.Second, 0.6}, {10 * time.Second, 1}, {time.Minute, 1}, {-time.Second, 0.2}} {
		if got := Warmth(c.age, 10*time.Second, 0.2); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("after %v: %v, want %v", c.age, got, c.want)
		}
	}
}
