package share

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is routers that send all they may again, and some that count their lives, one of whom holds the duties.
type fleet struct {
	rng     *rand.Rand
	now     time.Duration
	parts   []Part
	budgets []Repeats
	ids     []int // of the routers' lives
	next    int
	heard   [3]map[int]time.Duration // by each keeper
	cut     [3][]bool                // keepers from routers
	holder  int
	since   time.Duration // it holds
	sent    []time.Duration
	hasty   bool // who begins to count says at once: must be found
	sticky  bool // a word holds for good: likewise
	all     bool // whoever counts says, whether it holds the duties or not: likewise
}

const (
	window, hold = 10 * time.Second, 3 * time.Second
	extra        = 60.0
)

func (f *fleet) start(i int) {
	f.parts[i] = Part{Whole: extra, Window: window, Hold: hold}
	if f.sticky {
		f.parts[i].Hold = time.Hour
	}
	f.budgets[i] = Repeats{Window: window}
	f.ids[i], f.next = f.next, f.next+1
}

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), now: time.Hour, holder: 0}
	n := 2 + f.rng.IntN(8)
	f.parts, f.budgets, f.ids = make([]Part, n), make([]Repeats, n), make([]int, n)
	for k := range f.heard {
		f.heard[k], f.cut[k] = map[int]time.Duration{}, make([]bool, n)
	}
	for i := range n {
		f.start(i)
	}
	f.since = f.now
	return f
}

// step is half a second.
func (f *fleet) step() {
	switch f.rng.IntN(60) {
	case 0: // a cut, with a holder on one side
		part := 1 + f.rng.IntN(7)
		for i := range f.ids {
			side := f.rng.IntN(8) < part
			for k := range f.cut {
				f.cut[k][i] = side == (k == 0)
			}
		}
	case 1:
		for k := range f.cut {
			clear(f.cut[k])
		}
	case 2:
		f.holder, f.since = f.rng.IntN(3), f.now+3*time.Second // a lease lies between
		f.heard[f.rng.IntN(3)] = map[int]time.Duration{}
	case 3: // the holder starts anew
		f.heard[f.holder], f.since = map[int]time.Duration{}, f.now
	case 4:
		for i := range f.ids { // many routers start anew
			if f.rng.IntN(3) > 0 {
				f.start(i)
			}
		}
	case 5:
		f.start(f.rng.IntN(len(f.ids)))
	}
	for i, id := range f.ids {
		asked := f.now
		for k := range f.heard {
			if f.cut[k][i] {
				continue
			}
			f.heard[k][id] = f.now
			lives := 0
			for _, at := range f.heard[k] {
				if f.now-at <= Counts(window, hold) {
					lives++
				}
			}
			silent := f.now < f.since+Counts(window, hold) && !f.hasty || f.now < f.since || f.rng.IntN(4) == 0
			if !f.all && (k != f.holder || silent) {
				lives = 0
			}
			f.parts[i].Told(asked, f.now, lives)
		}
	}
	for i := range f.ids {
		f.budgets[i].Extra = f.parts[i].At(f.now)
		for f.rng.IntN(3) > 0 && f.budgets[i].Take(f.now) {
			f.sent = append(f.sent, f.now)
		}
	}
	f.now += 500 * time.Millisecond
}

// over plays fleets and says where more was sent again within a window than all may.
func over(seeds uint64, breaks func(*fleet)) (found string, most int) {
	for seed := range seeds {
		f := newFleet(seed)
		breaks(f)
		for i := range f.parts {
			f.start(i)
		}
		for range 400 {
			f.step()
		}
		for at, first := range f.sent {
			n := 0
			for n < len(f.sent)-at && f.sent[at+n] < first+window {
				n++
			}
			if most = max(most, n); n > extra {
				return fmt.Sprintf("seed %d: %d of %v in a window", seed, n, extra), most
			}
		}
	}
	return "", most
}

// TestPartsAddUp: cuts, holders that change or start anew, lives of routers by the dozen: the parts add up to no more than the whole.
func TestPartsAddUp(t *testing.T) {
	found, most := over(100, func(*fleet) {})
	if found != "" || most < extra/2 {
		t.Errorf("%q; %d at the most", found, most)
	}
	for name, breaks := range map[string]func(*fleet){
		"who begins to count says at once": func(f *fleet) { f.hasty = true },
		"a word holds for good":            func(f *fleet) { f.sticky = true },
		"whoever counts says":              func(f *fleet) { f.all = true },
	} {
		if found, _ := over(100, breaks); found == "" {
			t.Errorf("%s: not found", name)
		}
	}
}
