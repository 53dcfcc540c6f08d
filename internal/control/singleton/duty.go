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

// Tally counts requests by window and tenant. One that counts has its own; others keep the highest counts they have seen of
// it, so that a tally may be sent as often as one likes and in any order.
type Tally struct {
	Windows map[uint64]map[string]uint64
}

// Window is the number of the usage window that a time falls into.
func Window(at time.Time, length time.Duration) uint64 { return uint64(at.UnixNano() / int64(length)) }

// End is when a window is over.
func End(number uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(number+1)*int64(length))
}

// Add counts a request.
func (t *Tally) Add(window uint64, tenant string, n uint64) {
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

// Forget drops windows before a number.
func (t *Tally) Forget(before uint64) {
	for k := range t.Windows {
		if k < before {
			delete(t.Windows, k)
		}
	}
}

// Encode writes a tally.
func (t *Tally) Encode(w *encoding.Writer) {
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
		counts := Counts(t.Windows[k])
		w.Uvarint(uint64(len(counts)))
		for _, c := range counts {
			w.String(c.Tenant)
			w.Uvarint(c.Requests)
		}
	}
}

// DecodeTally reads a tally.
func DecodeTally(r *encoding.Reader) Tally {
	t := Tally{Windows: map[uint64]map[string]uint64{}}
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

// Counts lists a window's counts by tenant, in their order.
func Counts(w map[string]uint64) []replog.TenantCount {
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
	Source uint64 // a life of a router
	Zone   string
	Tally  Tally
	Loads  []Load
}

// Encode writes a report.
func (p *Report) Encode() []byte {
	w := encoding.Writer{}
	w.Fixed64(p.Source)
	w.String(p.Zone)
	p.Tally.Encode(&w)
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
	p := &Report{Source: r.Fixed64(), Zone: r.String(mostName), Tally: DecodeTally(r)}
	for range r.Length(mostTenants, 4) {
		p.Loads = append(p.Loads, Load{r.String(mostName), r.Uvarint(), r.Uvarint(), r.Uvarint()})
	}
	return p
}

// Word is a keeper's answer to a report.
type Word struct {
	Book  uint64 // a life of the keeper's book: another one has nothing of what was reported before
	Lives uint64 // of routers that have reported lately, this one's among them; 0 = it cannot say
}

// Encode writes a word.
func (a *Word) Encode() []byte {
	w := encoding.Writer{}
	w.Fixed64(a.Book)
	w.Uvarint(a.Lives)
	return w.Buf
}

// DecodeWord reads a word.
func DecodeWord(b []byte) (a Word, err error) {
	r := encoding.Reader{Buf: b}
	a = Word{Book: r.Fixed64(), Lives: r.Uvarint()}
	return a, r.Finish()
}

// Told is what a keeper has said that it has of a router's counts. It is told what is more than that, so that a report does
// not grow with all that was counted, and all of it once its book is another.
type Told struct {
	book uint64
	has  Tally
}

// Rest returns what it lacks of a tally.
func (t *Told) Rest(all *Tally) Tally {
	rest := Tally{}
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
func (t *Told) Heard(a Word, sent *Tally) {
	if a.Book != t.book {
		t.book, t.has = a.Book, Tally{}
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
func (t *Told) Forget(before uint64) { t.has.Forget(before) }

// Book is what a keeper knows of all routers: of each life its newest report. Books merge in any order.
type Book struct {
	sources map[uint64]*source
}

type source struct {
	Report
	at time.Duration // steady, when it was last heard
}

// Take takes a report in.
func (b *Book) Take(now time.Duration, p *Report, fresh bool) {
	if b.sources == nil {
		b.sources = map[uint64]*source{}
	}
	s := b.sources[p.Source]
	if s == nil {
		if len(b.sources) >= mostSources {
			return
		}
		s = &source{Report: Report{Source: p.Source, Zone: p.Zone, Tally: Tally{Windows: map[uint64]map[string]uint64{}}}}
		b.sources[p.Source] = s
	}
	for k, w := range p.Tally.Windows {
		mine := s.Tally.Windows[k]
		if mine == nil {
			mine = map[string]uint64{}
			s.Tally.Windows[k] = mine
		}
		for tenant, n := range w {
			mine[tenant] = max(mine[tenant], n)
		}
	}
	for len(s.Tally.Windows) > keptWindows { // one that sends nonsense must not fill the memory
		delete(s.Tally.Windows, slices.Min(slices.Collect(maps.Keys(s.Tally.Windows))))
	}
	if fresh {
		s.at, s.Loads = now, p.Loads
	}
}

// Sum adds up a window over all lives.
func (b *Book) Sum(window uint64) map[string]uint64 {
	sum := map[string]uint64{}
	for _, s := range b.sources {
		for tenant, n := range s.Tally.Windows[window] {
			sum[tenant] += n
		}
	}
	return sum
}

// Forget drops windows before a number, and lives that have nothing left.
func (b *Book) Forget(now time.Duration, before uint64) {
	for id, s := range b.sources {
		s.Tally.Forget(before)
		if len(s.Tally.Windows) == 0 && now-s.at > time.Minute {
			delete(b.sources, id)
		}
	}
}

// Loads adds up what routers that were heard lately have of each service.
func (b *Book) Loads(now time.Duration) map[string]Load {
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

// Lives tells how many lives of routers have been heard of within a time.
func (b *Book) Lives(now, within time.Duration) (n int) {
	for _, s := range b.sources {
		if now-s.at <= within {
			n++
		}
	}
	return n
}

// Encode writes what a book holds of the windows from a number up to before another, for another keeper.
func (b *Book) Encode(from, to uint64) []byte {
	w := encoding.Writer{}
	some := map[uint64]map[uint64]map[string]uint64{}
	for id, s := range b.sources {
		for k, x := range s.Tally.Windows {
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
		r := Report{Source: id, Zone: b.sources[id].Zone, Tally: Tally{Windows: some[id]}}
		w.Bytes(r.Encode())
	}
	return w.Buf
}

// Merge takes another keeper's book in.
func (b *Book) Merge(now time.Duration, text []byte) error {
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
	Lease   time.Duration
	Started time.Duration // steady; until Started+Lease nobody new is voted for, unless Fresh
	Fresh   bool          // there was no holder before this start
	holder  uint64
	at      time.Duration
	granted bool
}

// Bars tells whether a new holder must not be voted for.
func (g *Grants) Bars(now time.Duration, holder uint64) bool {
	if g.granted && holder != g.holder && now < g.at+g.Lease {
		return true
	}
	return !g.Fresh && !g.granted && now < g.Started+g.Lease
}

// Ask extends the lease of who asks, unless another's may run. Two who both hold themselves for the holder (one has not
// heard yet that another was agreed) can't both have a majority of grants: each member gives its own to one at a time.
func (g *Grants) Ask(now time.Duration, holder uint64) bool {
	if g.Bars(now, holder) {
		return false
	}
	g.holder, g.at, g.granted = holder, now, true
	return true
}

// Silent tells how long no holder has asked.
func (g *Grants) Silent(now time.Duration) time.Duration {
	if !g.granted {
		return now - g.Started
	}
	return now - g.at
}

// Held is the holder's part: it counts from when it asked, and stops a margin before any member would let another in.
type Held struct {
	Lease  time.Duration
	Margin time.Duration
	until  time.Duration
}

// Extended notes that a majority has granted what was asked for at a time.
func (h *Held) Extended(asked time.Duration) { h.until = max(h.until, asked+h.Lease-h.Margin) }

// Left tells for how long the holder may still act.
func (h *Held) Left(now time.Duration) time.Duration { return h.until - now }
