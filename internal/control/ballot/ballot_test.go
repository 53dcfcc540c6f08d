package ballot

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// world is a few members and proposers with a network between them that delays, repeats and loses, and disks that a crash
// may leave behind or not.
type world struct {
	members  []*member
	wires    []wire
	rounds   []*attempt
	chosen   map[uint64]map[string]bool // by place: every value that any proposer found chosen
	next     uint64                     // rounds' numbers
	forgets  bool                       // a crash loses the disk, and the member votes on: must be found out
	skipDisk bool                       // answers leave before the vote is on the disk: likewise
	again    bool                       // a proposer that restarts counts its rounds anew: likewise
}

type member struct {
	id     uint64
	acc    Acceptor
	disk   Vote
	log    [][]byte // chosen values by place, durable
	unsure bool     // the vote is not on the disk yet
}

type wire struct {
	to      int
	from    *attempt
	ask     Ask
	back    bool
	answer  Answer
	phase   bool
	by      uint64
	repeats int
}

type attempt struct {
	Round
	over bool
}

func newWorld(n int) *world {
	w := &world{chosen: map[uint64]map[string]bool{}}
	for i := range n {
		m := &member{id: uint64(i + 1)}
		m.acc = Acceptor{Voter: true, Chosen: m.chosen}
		w.members = append(w.members, m)
	}
	return w
}

func (m *member) chosen(place uint64) ([]byte, bool) {
	if place < uint64(len(m.log)) {
		return m.log[place], true
	}
	return nil, false
}

func (m *member) learn(place uint64, value []byte) {
	if place == uint64(len(m.log)) {
		m.log = append(m.log, value)
		m.acc.Next = uint64(len(m.log))
	}
}

func (w *world) begin(place uint64) {
	w.next++
	number := Number{Round: 1 + w.next/2, Node: w.next}
	if w.again {
		number = Number{Round: 1 + w.next/2, Node: 1}
	}
	a := &attempt{Round: Round{
		Place: place, Number: number, Need: Majority(len(w.members)),
		Own: []byte(fmt.Sprintf("v%d", w.next)),
	}}
	for _, m := range w.members {
		a.Members = append(a.Members, m.id)
	}
	w.rounds = append(w.rounds, a)
	w.send(a, a.Begin())
}

func (w *world) send(a *attempt, ask Ask) {
	for i := range w.members {
		w.wires = append(w.wires, wire{to: i, from: a, ask: ask, phase: ask.Kind == Accept})
	}
}

// deliver has the wire at i arrive; keep says that it may arrive again.
func (w *world) deliver(i int, keep bool) {
	x := w.wires[i]
	if !keep || x.repeats > 1 {
		w.wires = append(w.wires[:i:i], w.wires[i+1:]...)
	} else {
		w.wires[i].repeats++
	}
	if !x.back {
		m := w.members[x.to]
		ans, write := m.acc.Handle(x.ask)
		if write && !w.skipDisk {
			m.disk = m.acc.Vote
		}
		w.wires = append(w.wires, wire{back: true, from: x.from, answer: ans, phase: x.phase, by: m.id})
		return
	}
	a := x.from
	if a.over {
		return
	}
	next, out := a.Take(x.by, x.phase, x.answer)
	if next != nil {
		w.send(a, *next)
	}
	if out == Pending {
		return
	}
	a.over = true
	switch {
	case out == Chosen, out == Past && x.answer.Value != nil:
		if w.chosen[a.Place] == nil {
			w.chosen[a.Place] = map[string]bool{}
		}
		w.chosen[a.Place][string(a.Value)] = true
		for _, m := range w.members {
			if out == Chosen && m.id == 1+a.Number.Node%uint64(len(w.members)) {
				m.learn(a.Place, a.Value)
			}
		}
	}
}

// crash has a member start again from its disk, which may lack what was not synced.
func (w *world) crash(i int) {
	m := w.members[i]
	if w.forgets {
		m.disk = Vote{}
	}
	m.acc = Acceptor{Vote: m.disk, Voter: true, Next: uint64(len(m.log)), Chosen: m.chosen}
}

// broken names a place at which two values were chosen.
func (w *world) broken() string {
	for place, values := range w.chosen {
		if len(values) > 1 {
			return fmt.Sprintf("place %d: %v", place, values)
		}
	}
	return ""
}

// live plays a random life.
func (w *world) live(t *rapid.T, steps int) {
	for range steps {
		switch rapid.IntRange(0, 9).Draw(t, "what") {
		case 0:
			w.begin(uint64(len(w.members[rapid.IntRange(0, len(w.members)-1).Draw(t, "whose")].log)))
		case 1:
			w.crash(rapid.IntRange(0, len(w.members)-1).Draw(t, "crash"))
		case 2:
			if len(w.wires) > 0 {
				i := rapid.IntRange(0, len(w.wires)-1).Draw(t, "lost")
				w.wires = append(w.wires[:i:i], w.wires[i+1:]...)
			}
		default:
			if len(w.wires) > 0 {
				w.deliver(rapid.IntRange(0, len(w.wires)-1).Draw(t, "wire"), rapid.Bool().Draw(t, "again"))
			}
		}
	}
}

func TestOneValueAPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "members"))
		w.live(t, 150)
		if says := w.broken(); says != "" {
			t.Fatal(says)
		}
	})
}

// explore plays every order of deliveries and of a crash for two proposers and three members, without repeats, as far as
// a bound on the steps allows, and returns the first life in which two values were chosen.
func explore(crashes, most int) (found string, lives int) {
	type step struct{ kind, i int }
	play := func(path []step) *world {
		w := newWorld(3)
		w.begin(0)
		for _, s := range path {
			switch s.kind {
			case 0:
				w.deliver(s.i, false)
			case 1:
				w.crash(s.i)
			case 2:
				w.begin(0)
			}
		}
		return w
	}
	var walk func(path []step, crashed, begun int) bool
	seen := map[string]bool{}
	walk = func(path []step, crashed, begun int) bool {
		w := play(path)
		if says := w.broken(); says != "" {
			found = says
			return true
		}
		key := w.key(crashed, begun)
		if seen[key] || len(path) > most {
			return false
		}
		seen[key] = true
		lives++
		for i := range w.wires {
			if walk(append(path[:len(path):len(path)], step{0, i}), crashed, begun) {
				return true
			}
		}
		if begun < 1 {
			if walk(append(path[:len(path):len(path)], step{2, 0}), crashed, begun+1) {
				return true
			}
		}
		if crashed < crashes {
			for i := range w.members {
				if walk(append(path[:len(path):len(path)], step{1, i}), crashed+1, begun) {
					return true
				}
			}
		}
		return false
	}
	walk(nil, 0, 0)
	return found, lives
}

// key names a world's state.
func (w *world) key(crashed, begun int) string {
	s := fmt.Sprint(crashed, begun)
	for _, m := range w.members {
		s += fmt.Sprintf("|%v %v %d", m.acc.Vote, m.disk, len(m.log))
	}
	for i, a := range w.rounds {
		s += fmt.Sprintf("/%d %v %v %v %q", i, a.over, a.accepting, len(a.granted), a.Value)
		for id := range uint64(4) {
			s += fmt.Sprint(a.granted[id], a.failed[id])
		}
	}
	pending := map[string]int{}
	for _, x := range w.wires {
		pending[fmt.Sprintf("%d %d %v %v %v %d", x.to, x.from.Number.Round, x.ask, x.back, x.answer, x.by)]++
	}
	return s + fmt.Sprint(pending)
}

func TestBrokenRulesAreFound(t *testing.T) {
	// A check that can't fail checks nothing: a member that votes on after its disk was wiped, or that answers before its
	// vote is on the disk, must be found out by the very walk that finds nothing otherwise.
	for name, breaks := range map[string]func(*world){
		"votes after a wipe":      func(w *world) { w.forgets = true },
		"answers before the sync": func(w *world) { w.skipDisk = true },
		"counts its rounds anew":  func(w *world) { w.again = true },
	} {
		if found, lives := deep(breaks, 20000); found == "" {
			t.Errorf("%s: not found in %d lives", name, lives)
		}
	}
	if found, lives := deep(func(*world) {}, 4000); found != "" {
		t.Errorf("%s after %d lives", found, lives)
	}
}

// deep plays random lives with a seed each, so that the verdict is the same every time.
func deep(breaks func(*world), lives int) (string, int) {
	for seed := range lives {
		w := newWorld(3)
		breaks(w)
		x := uint64(seed)*0x9e3779b97f4a7c15 + 1
		draw := func(n int) int {
			x ^= x << 13
			x ^= x >> 7
			x ^= x << 17
			return int(x % uint64(n))
		}
		w.begin(0)
		for range 60 {
			switch k := draw(12); {
			case k == 0 && len(w.rounds) < 4:
				w.begin(0)
			case k == 1:
				w.crash(draw(3))
			case len(w.wires) > 0:
				w.deliver(draw(len(w.wires)), false)
			}
		}
		if says := w.broken(); says != "" {
			return says, seed
		}
	}
	return "", lives
}

func TestEveryOrder(t *testing.T) {
	if found, lives := explore(1, 9); found != "" || lives < 1000 {
		t.Errorf("%q after %d lives", found, lives)
	}
}

func TestAcceptorKeepsToItsPlace(t *testing.T) {
	a := Acceptor{Voter: true, Next: 3, Chosen: func(uint64) ([]byte, bool) { return []byte("old"), true }}
	for _, c := range []struct {
		ask  Ask
		want Verdict
	}{
		{Ask{Kind: Prepare, Place: 2, Number: Number{9, 1}}, Decided},
		{Ask{Kind: Prepare, Place: 4, Number: Number{9, 1}}, Behind},
		{Ask{Kind: Prepare, Place: 3, Number: Number{5, 1}}, Granted},
		{Ask{Kind: Prepare, Place: 3, Number: Number{4, 9}}, Refused},
		{Ask{Kind: Accept, Place: 3, Number: Number{5, 0}}, Refused},
		{Ask{Kind: Accept, Place: 3, Number: Number{5, 1}, Value: []byte("v")}, Granted},
		{Ask{Kind: Query}, Known},
		{Ask{Kind: 9, Place: 3, Number: Number{9, 9}}, NoVote},
	} {
		if got, _ := a.Handle(c.ask); got.Verdict != c.want {
			t.Errorf("%+v: %v, want %v", c.ask, got.Verdict, c.want)
		}
	}
	a.Voter = false
	if got, write := a.Handle(Ask{Kind: Prepare, Place: 3, Number: Number{50, 1}}); got.Verdict != NoVote || write {
		t.Errorf("who has no vote: %+v", got)
	}
}

func TestOldProposerWakes(t *testing.T) {
	// A proposer dies after one of three has accepted, another comes and has its own chosen where the first had not been; the
	// operator tries again elsewhere; then the first wakes up with all that it had sent, and what it had heard, still on the
	// way. Whichever majority the second finds, there is one value, and the first one's is it if the second has seen it.
	for seen := range 3 { // who of the three has accepted the first one's value
		for away := range 3 { // who does not answer the second
			w := newWorld(3)
			w.begin(0)
			first := w.rounds[0]
			take := func(a *attempt, accept, back bool, from int) bool {
				for i, x := range w.wires {
					if x.from == a && x.phase == accept && x.back == back && (!back && x.to == from || back && x.by == uint64(from+1)) {
						w.deliver(i, false)
						return true
					}
				}
				return false
			}
			for i := range 3 {
				take(first, false, false, i)
				take(first, false, true, i)
			}
			if !take(first, true, false, seen) { // and dies: its other words stay on the way
				t.Fatal("the first one has not come as far as to have a value accepted")
			}
			for _, number := range []int{1, 2} { // the second, and the operator's next try
				w.begin(0)
				second := w.rounds[number]
				for _, accept := range []bool{false, true} {
					for i := range 3 {
						if i != away {
							take(second, accept, false, i)
							take(second, accept, true, i)
						}
					}
				}
				want := "v2"
				if seen != away {
					want = "v1"
				}
				if !w.chosen[0][want] || len(w.chosen[0]) != 1 {
					t.Fatalf("accepted at %d, away %d: %v, not %s", seen, away, w.chosen[0], want)
				}
			}
			for i := range 3 { // the first wakes up
				take(first, true, false, i)
				take(first, true, true, i)
			}
			if says := w.broken(); says != "" || first.over && first.Value != nil && !w.chosen[0][string(first.Value)] {
				t.Errorf("accepted at %d, away %d: %s", seen, away, says)
			}
		}
	}
}
