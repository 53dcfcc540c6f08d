package retrybudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is routers that retry as much as they may, and replicas that count the routers' incarnations, one of which holds the lease.
type fleet struct {
	rng            *rand.Rand
	now            time.Duration
	shares         []Share
	budgets        []Budget
	ids            []int // of the routers' incarnations
	nextID         int
	lastReports    [3]map[int]time.Duration // by each replica
	isolated       [3][]bool                // replicas from routers
	leaseHolder    int
	holderSince    time.Duration // the holder has the lease
	retries        []time.Duration
	reportsAtOnce  bool // a replica that begins to count reports at once: must be found
	reportsForever bool // a report is valid for good: likewise
	allReport      bool // every replica reports, whether it holds the lease or not: likewise
}

const (
	window, validity = 10 * time.Second, 3 * time.Second
	total            = 60.0
)

func (f *fleet) restart(i int) {
	f.shares[i] = Share{Total: total, Window: window, Validity: validity}
	if f.reportsForever {
		f.shares[i].Validity = time.Hour
	}
	f.budgets[i] = Budget{Window: window}
	f.ids[i], f.nextID = f.nextID, f.nextID+1
}

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), now: time.Hour, leaseHolder: 0}
	n := 2 + f.rng.IntN(8)
	f.shares, f.budgets, f.ids = make([]Share, n), make([]Budget, n), make([]int, n)
	for k := range f.lastReports {
		f.lastReports[k], f.isolated[k] = map[int]time.Duration{}, make([]bool, n)
	}
	for i := range n {
		f.restart(i)
	}
	f.holderSince = f.now
	return f
}

// step plays half a second.
func (f *fleet) step() {
	f.injectFault()
	f.report()
	f.retry()
	f.now += 500 * time.Millisecond
}

// injectFault draws a fault, now and then.
func (f *fleet) injectFault() {
	switch f.rng.IntN(60) {
	case 0:
		f.partition()
	case 1:
		for k := range f.isolated {
			clear(f.isolated[k])
		}
	case 2:
		f.leaseHolder, f.holderSince = f.rng.IntN(3), f.now+3*time.Second // the lease must run out in between
		f.lastReports[f.rng.IntN(3)] = map[int]time.Duration{}
	case 3: // the holder restarts
		f.lastReports[f.leaseHolder], f.holderSince = map[int]time.Duration{}, f.now
	case 4: // many routers restart
		for i := range f.ids {
			if f.rng.IntN(3) > 0 {
				f.restart(i)
			}
		}
	case 5:
		f.restart(f.rng.IntN(len(f.ids)))
	}
}

// partition cuts routers off from replicas, with the holder on one side.
func (f *fleet) partition() {
	chance := 1 + f.rng.IntN(7)
	for i := range f.ids {
		side := f.rng.IntN(8) < chance
		for k := range f.isolated {
			f.isolated[k][i] = side == (k == 0)
		}
	}
}

// report has every router ask every replica that it can reach.
func (f *fleet) report() {
	for i, id := range f.ids {
		for k := range f.lastReports {
			if !f.isolated[k][i] {
				f.lastReports[k][id] = f.now
				f.shares[i].Update(f.now, f.now, f.count(k))
			}
		}
	}
}

// count returns the incarnations that a replica reports; 0 = it cannot say.
func (f *fleet) count(replica int) (incarnations int) {
	for _, at := range f.lastReports[replica] {
		if f.now-at <= CountingPeriod(window, validity) {
			incarnations++
		}
	}
	cannotSay := f.now < f.holderSince+CountingPeriod(window, validity) && !f.reportsAtOnce || f.now < f.holderSince || f.rng.IntN(4) == 0
	if !f.allReport && (replica != f.leaseHolder || cannotSay) {
		return 0
	}
	return incarnations
}

// retry has every router retry as much as it may.
func (f *fleet) retry() {
	for i := range f.ids {
		f.budgets[i].Allowance = f.shares[i].Allowance(f.now)
		for f.rng.IntN(3) > 0 && f.budgets[i].TryTake(f.now) {
			f.retries = append(f.retries, f.now)
		}
	}
}

// findExcess plays fleets and returns where there were more retries within a window than the total allows, and the most that there were.
func findExcess(seeds uint64, change func(*fleet)) (found string, maxRetries int) {
	for seed := range seeds {
		f := newFleet(seed)
		change(f)
		for i := range f.shares {
			f.restart(i)
		}
		for range 400 {
			f.step()
		}
		for at, first := range f.retries {
			n := 0
			for n < len(f.retries)-at && f.retries[at+n] < first+window {
				n++
			}
			if maxRetries = max(maxRetries, n); n > total {
				return fmt.Sprintf("seed %d: %d retries of %v in a window", seed, n, total), maxRetries
			}
		}
	}
	return "", maxRetries
}

// TestSharesNeverExceedTheTotal plays partitions, holders that change or restart, and routers that restart by the dozen.
func TestSharesNeverExceedTheTotal(t *testing.T) {
	found, maxRetries := findExcess(100, func(*fleet) {})
	if found != "" || maxRetries < total/2 {
		t.Errorf("%q; %d at the most", found, maxRetries)
	}
	for name, change := range map[string]func(*fleet){
		"a replica that begins to count reports at once": func(f *fleet) { f.reportsAtOnce = true },
		"a report is valid for good":                     func(f *fleet) { f.reportsForever = true },
		"every replica reports":                          func(f *fleet) { f.allReport = true },
	} {
		if found, _ := findExcess(100, change); found == "" {
			t.Errorf("%s: not found", name)
		}
	}
}
