// Package singleton owns the arithmetic of what the fleet owes the platform: which requests began in which usage window, who may
// act for all (the lease of the holder), and how many engines are wanted. It is pure: time of day and the steady clock are
// given, and what is sent or agreed is its users'.
package singleton

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/replog"
)

// Bounds of what is read and kept.
const (
	mostWindows = 16 // in one report
	keptWindows = 64 // of one life in a book
	mostTenants = 4096
	mostSources = 4096
	mostName    = 256
)

// Counters counts requests by window and tenant. One that counts has its own; others keep the highest counts they have seen of
// it, so that a tally may be sent as often as one likes and in any order.
type Counters struct {
	Windows map[uint64]map[string]uint64
}

// WindowAt is the number of the usage window that a time falls into.
func WindowAt(at time.Time, length time.Duration) uint64 {
	return uint64(at.UnixNano() / int64(length))
}

// WindowEnd is when a window is over.
func WindowEnd(number uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(number+1)*int64(length))
}

// Add counts a request.
func (t *Counters) Add(window uint64, tenant string, n uint64) {
	if t.Windows == nil {
		t.Windows = map[uint64]map[string]uint64{}
	}
	w := t.Windows[window]
	if w == nil {
		w = map[string]uint64{}
		t.Windows[window] = w
	}
	w[tenant] += n
}

// DropBefore drops windows before a number.
func (t *Counters) DropBefore(before uint64) {
	for k := range t.Windows {
		if k < before {
			delete(t.Windows, k)
		}
	}
}

// Encode writes a tally.
func (t *Counters) Encode(w *encoding.Writer) {
	numbers := make([]uint64, 0, len(t.Windows))
	for k := range t.Windows {
		numbers = append(numbers, k)
	}
	slices.Sort(numbers)
	if len(numbers) > mostWindows {
		numbers = numbers[len(numbers)-mostWindows:]
	}
	w.Uvarint(uint64(len(numbers)))
	for _, k := range numbers {
		w.Uvarint(k)
		counts := SortedCounts(t.Windows[k])
		w.Uvarint(uint64(len(counts)))
		for _, c := range counts {
			w.String(c.Tenant)
			w.Uvarint(c.Requests)
		}
	}
}

// DecodeCounters reads a tally.
func DecodeCounters(r *encoding.Reader) Counters {
	t := Counters{Windows: map[uint64]map[string]uint64{}}
	for range r.Length(mostWindows, 2) {
		w := map[string]uint64{}
		t.Windows[r.Uvarint()] = w
		for range r.Length(mostTenants, 2) {
			tenant := r.String(mostName)
			w[tenant] = r.Uvarint()
		}
	}
	return t
}

// SortedCounts lists a window's counts by tenant, in their order.
func SortedCounts(w map[string]uint64) []replog.TenantCount {
	all := make([]replog.TenantCount, 0, len(w))
	for tenant, n := range w {
		all = append(all, replog.TenantCount{Tenant: tenant, Requests: n})
	}
	slices.SortFunc(all, func(x, y replog.TenantCount) int { return cmp.Compare(x.Tenant, y.Tenant) })
	return all
}

// Load is what a router has of a service.
type Load struct {
	Service string
	Running uint64 // requests at engines, a mean over the last second in hundredths
	Arrived uint64 // since its start
	Late    uint64 // of these, answered past their aim or not at all
}

// Report is what a router tells the keepers.
type Report struct {
	Incarnation uint64 // a life of a router
	Zone        string
	Counters    Counters
	Loads       []Load
}

// Encode writes a report.
func (p *Report) Encode() []byte {
	w := encoding.Writer{}
	w.Fixed64(p.Incarnation)
	w.String(p.Zone)
	p.Counters.Encode(&w)
	w.Uvarint(uint64(len(p.Loads)))
	for _, l := range p.Loads {
		w.String(l.Service)
		w.Uvarint(l.Running)
		w.Uvarint(l.Arrived)
		w.Uvarint(l.Late)
	}
	return w.Buf
}

// DecodeReport reads a report.
func DecodeReport(b []byte) (*Report, error) {
	r := encoding.Reader{Buf: b}
	p := readReport(&r)
	return p, r.Finish()
}

func readReport(r *encoding.Reader) *Report {
	p := &Report{Incarnation: r.Fixed64(), Zone: r.String(mostName), Counters: DecodeCounters(r)}
	for range r.Length(mostTenants, 4) {
		p.Loads = append(p.Loads, Load{r.String(mostName), r.Uvarint(), r.Uvarint(), r.Uvarint()})
	}
	return p
}

// Ack is a keeper's answer to a report.
type Ack struct {
	TableID uint64 // a life of the keeper's book: another one has nothing of what was reported before
	Routers uint64 // of routers that have reported lately, this one's among them; 0 = it cannot say
}

// Encode writes a word.
func (a *Ack) Encode() []byte {
	w := encoding.Writer{}
	w.Fixed64(a.TableID)
	w.Uvarint(a.Routers)
	return w.Buf
}

// DecodeAck reads a word.
func DecodeAck(b []byte) (a Ack, err error) {
	r := encoding.Reader{Buf: b}
	a = Ack{TableID: r.Fixed64(), Routers: r.Uvarint()}
	return a, r.Finish()
}

// ackedCounters is what a keeper has said that it has of a router's counts. It is told what is more than that, so that a report does
// not grow with all that was counted, and all of it once its book is another.
type ackedCounters struct {
	book uint64
	has  Counters
}

// Rest returns what it lacks of a tally.
func (t *ackedCounters) Rest(all *Counters) Counters {
	rest := Counters{}
	for number, counts := range all.Windows {
		for tenant, n := range counts {
			if n > t.has.Windows[number][tenant] {
				rest.Add(number, tenant, n)
			}
		}
	}
	return rest
}

// Heard notes its answer to a report of so much.
func (t *ackedCounters) Heard(a Ack, sent *Counters) {
	if a.TableID != t.book {
		t.book, t.has = a.TableID, Counters{}
	}
	for number, counts := range sent.Windows {
		for tenant, n := range counts {
			if more := n - min(n, t.has.Windows[number][tenant]); more > 0 {
				t.has.Add(number, tenant, more)
			}
		}
	}
}

// Forget drops windows before a number.
func (t *ackedCounters) Forget(before uint64) { t.has.DropBefore(before) }

// Table is what a keeper knows of all routers: of each life its newest report. Books merge in any order.
type Table struct {
	sources map[uint64]*source
}

type source struct {
	Report
	at time.Duration // steady, when it was last heard
}

// Take takes a report in.
func (b *Table) Take(now time.Duration, p *Report, fresh bool) {
	if b.sources == nil {
		b.sources = map[uint64]*source{}
	}
	s := b.sources[p.Incarnation]
	if s == nil {
		if len(b.sources) >= mostSources {
			return
		}
		s = &source{Report: Report{Incarnation: p.Incarnation, Zone: p.Zone, Counters: Counters{Windows: map[uint64]map[string]uint64{}}}}
		b.sources[p.Incarnation] = s
	}
	for k, w := range p.Counters.Windows {
		mine := s.Counters.Windows[k]
		if mine == nil {
			mine = map[string]uint64{}
			s.Counters.Windows[k] = mine
		}
		for tenant, n := range w {
			mine[tenant] = max(mine[tenant], n)
		}
	}
	for len(s.Counters.Windows) > keptWindows { // one that sends nonsense must not fill the memory
		delete(s.Counters.Windows, slices.Min(slices.Collect(maps.Keys(s.Counters.Windows))))
	}
	if fresh {
		s.at, s.Loads = now, p.Loads
	}
}

// Sum adds up a window over all lives.
func (b *Table) Sum(window uint64) map[string]uint64 {
	sum := map[string]uint64{}
	for _, s := range b.sources {
		for tenant, n := range s.Counters.Windows[window] {
			sum[tenant] += n
		}
	}
	return sum
}

// DropBefore drops windows before a number, and lives that have nothing left.
func (b *Table) DropBefore(now time.Duration, before uint64) {
	for id, s := range b.sources {
		s.Counters.DropBefore(before)
		if len(s.Counters.Windows) == 0 && now-s.at > time.Minute {
			delete(b.sources, id)
		}
	}
}

// Loads adds up what routers that were heard lately have of each service.
func (b *Table) Loads(now time.Duration) map[string]Load {
	sum := map[string]Load{}
	for _, s := range b.sources {
		if now-s.at > 3*time.Second {
			continue
		}
		for _, l := range s.Loads {
			x := sum[l.Service]
			sum[l.Service] = Load{l.Service, x.Running + l.Running, x.Arrived + l.Arrived, x.Late + l.Late}
		}
	}
	return sum
}

// LiveRouters tells how many lives of routers have been heard of within a time.
func (b *Table) LiveRouters(now, within time.Duration) (n int) {
	for _, s := range b.sources {
		if now-s.at <= within {
			n++
		}
	}
	return n
}

// Encode writes what a book holds of the windows from a number up to before another, for another keeper.
func (b *Table) Encode(from, to uint64) []byte {
	w := encoding.Writer{}
	some := map[uint64]map[uint64]map[string]uint64{}
	for id, s := range b.sources {
		for k, x := range s.Counters.Windows {
			if k >= from && k < to && len(x) > 0 {
				if some[id] == nil {
					some[id] = map[uint64]map[string]uint64{}
				}
				some[id][k] = x
			}
		}
	}
	w.Uvarint(uint64(len(some)))
	for _, id := range slices.Sorted(maps.Keys(some)) {
		r := Report{Incarnation: id, Zone: b.sources[id].Zone, Counters: Counters{Windows: some[id]}}
		w.Bytes(r.Encode())
	}
	return w.Buf
}

// Merge takes another keeper's book in.
func (b *Table) Merge(now time.Duration, text []byte) error {
	r := encoding.Reader{Buf: text}
	for range r.Length(mostSources, 1) {
		p, err := DecodeReport(r.Bytes(1 << 20))
		if err != nil {
			return err
		}
		b.Take(now, p, false)
	}
	return r.Finish()
}

// Grants is a member's part of the holder's lease. What it granted bars every other holder for as long as the lease lasts by
// this member's own steady clock; a member that has just started may have granted one before, and waits as long.
type Grants struct {
	Duration     time.Duration
	StartedAt    time.Duration // steady; until Started+Lease nobody new is voted for, unless Fresh
	NeverGranted bool          // there was no holder before this start
	holder       uint64
	at           time.Duration
	granted      bool
}

// Blocks tells whether a new holder must not be voted for.
func (g *Grants) Blocks(now time.Duration, holder uint64) bool {
	if g.granted && holder != g.holder && now < g.at+g.Duration {
		return true
	}
	return !g.NeverGranted && !g.granted && now < g.StartedAt+g.Duration
}

// Grant extends the lease of who asks, unless another's may run. Two who both hold themselves for the holder (one has not
// heard yet that another was agreed) can't both have a majority of grants: each member gives its own to one at a time.
func (g *Grants) Grant(now time.Duration, holder uint64) bool {
	if g.Blocks(now, holder) {
		return false
	}
	g.holder, g.at, g.granted = holder, now, true
	return true
}

// Idle tells how long no holder has asked.
func (g *Grants) Idle(now time.Duration) time.Duration {
	if !g.granted {
		return now - g.StartedAt
	}
	return now - g.at
}

// Holder is the holder's part: it counts from when it asked, and stops a margin before any member would let another in.
type Holder struct {
	Duration time.Duration
	Margin   time.Duration
	until    time.Duration
}

// Extend notes that a majority has granted what was asked for at a time.
func (h *Holder) Extend(asked time.Duration) { h.until = max(h.until, asked+h.Duration-h.Margin) }

// Remaining tells for how long the holder may still act.
func (h *Holder) Remaining(now time.Duration) time.Duration { return h.until - now }
