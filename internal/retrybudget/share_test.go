package retrybudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet simulates routers that retry as much as they may, and replicas that count the routers' incarnations. One replica holds the
// lease.
type fleet struct {
	rng            *rand.Rand
	now            time.Duration
	shares         []Share
	budgets        []Budget
	ids            []int // current incarnation of each router
	nextID         int
	lastReports    [3]map[int]time.Duration // time of the last request of each incarnation, by replica
	isolated       [3][]bool                // by replica and router: whether they are partitioned
	leaseHolder    int
	holderSince    time.Duration // from when the holder has the lease
	retries        []time.Duration
	reportsAtOnce  bool // fault: a replica that starts to count reports at once
	reportsForever bool // fault: a report never expires
	allReport      bool // fault: replicas without the lease report, too
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

// step simulates half a second.
func (f *fleet) step() {
	f.injectFault()
	f.report()
	f.retry()
	f.now += 500 * time.Millisecond
}

// injectFault injects a random fault in some steps.
func (f *fleet) injectFault() {
	switch f.rng.IntN(60) {
	case 0:
		f.partition()
	case 1:
		for k := range f.isolated {
			clear(f.isolated[k])
		}
	case 2:
		f.leaseHolder, f.holderSince = f.rng.IntN(3), f.now+3*time.Second // the old lease expires in between
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

// partition splits the fleet: each router reaches either replica 0 only, or all replicas but that one.
func (f *fleet) partition() {
	chance := 1 + f.rng.IntN(7)
	for i := range f.ids {
		side := f.rng.IntN(8) < chance
		for k := range f.isolated {
			f.isolated[k][i] = side == (k == 0)
		}
	}
}

// report sends a request of every router to every replica that it can reach.
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

// count returns the number of incarnations that a replica reports; 0 = unknown.
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

// retry lets every router send a random number of the retries that its budget allows.
func (f *fleet) retry() {
	for i := range f.ids {
		f.budgets[i].Allowance = f.shares[i].Allowance(f.now)
		for f.rng.IntN(3) > 0 && f.budgets[i].TryTake(f.now) {
			f.retries = append(f.retries, f.now)
		}
	}
}

// findExcess simulates a fleet for each seed until a window has more retries than the total. It returns a description of that
// window, or "", and the largest number of retries found in a window.
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
				return fmt.Sprintf("seed %d: %d retries in a window, %v are allowed", seed, n, total), maxRetries
			}
		}
	}
	return "", maxRetries
}

// TestSharesNeverExceedTheTotal simulates partitions, changes and restarts of the lease holder, and simultaneous restarts of many
// routers. Each of the faults in the algorithm must be detected.
func TestSharesNeverExceedTheTotal(t *testing.T) {
	found, maxRetries := findExcess(100, func(*fleet) {})
	if found != "" || maxRetries < total/2 {
		t.Errorf("excess %q; at most %d retries in a window", found, maxRetries)
	}
	for name, change := range map[string]func(*fleet){
		"a replica that starts to count reports at once": func(f *fleet) { f.reportsAtOnce = true },
		"a report never expires":                         func(f *fleet) { f.reportsForever = true },
		"every replica reports":                          func(f *fleet) { f.allReport = true },
	} {
		if found, _ := findExcess(100, change); found == "" {
			t.Errorf("%s: the excess was not detected", name)
		}
	}
}
