package registry

import (
	"context"
	"maps"
	"path"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/hoststate"
	"notchhinge/policy"
)

// Selection is the part of a list that a pool has. What is empty takes all.
type Selection struct {
	Sites   []string
	Blocks  []int
	Classes []string
	Names   []string // patterns as path.Match has them
}

// Equal tells whether two selections are the same.
func (s *Selection) Equal(o *Selection) bool {
	return slices.Equal(s.Sites, o.Sites) && slices.Equal(s.Blocks, o.Blocks) && slices.Equal(s.Classes, o.Classes) &&
		slices.Equal(s.Names, o.Names)
}

// Takes tells whether an entry is part of the selection.
func (s *Selection) Takes(e *Entry) bool {
	return (len(s.Sites) == 0 || slices.Contains(s.Sites, e.Site)) &&
		(len(s.Blocks) == 0 || slices.Contains(s.Blocks, e.Block)) &&
		(len(s.Classes) == 0 || slices.Contains(s.Classes, e.Class)) &&
		(len(s.Names) == 0 || slices.ContainsFunc(s.Names, func(p string) bool { ok, _ := path.Match(p, e.Host); return ok }))
}

func (s *Selection) all() bool {
	return len(s.Sites)+len(s.Blocks)+len(s.Classes)+len(s.Names) == 0
}

// Feed gives what one discovery says to several pools, each its selection with its own numbers for the zones.
type Feed struct {
	Client *Client

	post  func(dispatch.Event)
	asked chan struct{}
	stop  context.CancelFunc

	// The loop asks, and must not wait for mu, which is held while it is posted to.
	failed atomic.Bool  // the last call failed, and the first pool has been told so
	first  atomic.Int64 // the pool whose module paces calls after a failure: the one with the least number

	mu    sync.Mutex
	known bool             // a list has come, or was given
	list  map[string]Entry // as last held
	pools map[hoststate.PoolID]*member
}

type member struct {
	sel   Selection
	zones []string
	has   map[string]bool // nil where it takes all
}

// NewFeed returns a feed of a discovery. c.Deliver and c.Post are the feed's.
func NewFeed(c Client, post func(dispatch.Event)) *Feed {
	f := &Feed{post: post, asked: make(chan struct{}, 1), pools: map[hoststate.PoolID]*member{}, list: map[string]Entry{}}
	c.Deliver, c.Post = f.take, post
	f.Client = New(c)
	return f
}

// Run watches as it is asked to, until Stop.
func (f *Feed) Run(ctx context.Context) {
	ctx, f.stop = context.WithCancel(ctx)
	go f.Client.Run(ctx, f.asked)
}

// Stop ends the watch.
func (f *Feed) Stop() { f.stop() }

// Ask has the discovery watched from now on, as a pool's module wants it. It does not wait; asking while a watch is on
// does nothing. After a call that failed it is the first pool alone that hears of it and whose module says when to ask
// again: were it all of them, each failure would have as many calls follow as there are pools, and each of these would
// fail for all.
func (f *Feed) Ask(id hoststate.PoolID) {
	if !f.failed.Load() || int64(id) == f.first.Load() {
		f.AskNow()
	}
}

// AskNow is Ask for nobody in particular.
func (f *Feed) AskNow() {
	select {
	case f.asked <- struct{}{}:
	default: // asked already
	}
}

// Known sets the list that the feed starts with.
func (f *Feed) Known(l List) {
	f.Client.Known(l)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = f.known || len(l.Hosts) > 0
	for _, e := range l.Hosts {
		if e.Health != "Gone" {
			f.list[e.Host] = e
		}
	}
}

// HasList tells whether a list has come, or was given.
func (f *Feed) HasList() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

// Join gives a pool its selection from now on, whatever it had before, and at once what is known of it: as a list that is
// as last held if it is new, and as a whole list otherwise. A pool that is not new keeps what it has as long as nothing
// is known here.
func (f *Feed) Join(id hoststate.PoolID, sel Selection, zones []string, first bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &member{sel: sel, zones: zones}
	if !sel.all() {
		m.has = map[string]bool{}
	}
	f.pools[id] = m
	f.choose()
	if !first && !f.known {
		return
	}
	l := List{Whole: true}
	for _, e := range f.list {
		l.Hosts = append(l.Hosts, e)
	}
	slices.SortFunc(l.Hosts, func(x, y Entry) int { return strings.Compare(x.Host, y.Host) })
	kind := policy.ListFull
	if first {
		kind = policy.ListCached
	}
	_ = f.tell(id, m, kind, l) // the list was taken in, so that its entries can be read
}

// Leave takes a pool out and tells whether any is left.
func (f *Feed) Leave(id hoststate.PoolID) (left bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pools, id)
	f.choose()
	return len(f.pools) > 0
}

// choose finds the first pool. If that is another now and the last call failed, it has to see to the next. The lock is
// held.
func (f *Feed) choose() {
	least := hoststate.PoolID(-1)
	for id := range f.pools {
		if least < 0 || id < least {
			least = id
		}
	}
	if f.first.Swap(int64(least)) != int64(least) && f.failed.Load() && least >= 0 {
		f.post(dispatch.EndpointsListed{Pool: least, Kind: policy.ListFailed})
	}
}

// take hears what the discovery says. A list with an error in it is nobody's.
func (f *Feed) take(kind policy.ListKind, l List) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed.Store(kind == policy.ListFailed)
	if kind == policy.ListFailed {
		if len(f.pools) > 0 {
			f.post(dispatch.EndpointsListed{Pool: hoststate.PoolID(f.first.Load()), Kind: kind})
		}
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(f.pools)) {
		if err := f.tell(id, f.pools[id], kind, l); err != nil {
			return err // the first would have it as well as any
		}
	}
	f.known = true
	if kind == policy.ListFull {
		clear(f.list)
	}
	for _, e := range l.Hosts {
		if e.Health == "Gone" {
			delete(f.list, e.Host)
		} else {
			f.list[e.Host] = e
		}
	}
	return nil
}

// tell passes a list on to a pool as its selection has it.
func (f *Feed) tell(id hoststate.PoolID, m *member, kind policy.ListKind, l List) error {
	hosts, err := l.Entries(m.zones)
	if err != nil {
		return err
	}
	if m.has != nil {
		if kind != policy.ListDelta {
			clear(m.has)
		}
		some := hosts[:0]
		for i, h := range hosts {
			switch {
			case m.sel.Takes(&l.Hosts[i]):
				m.has[h.Name] = h.State != policy.StateGone
			case m.has[h.Name]: // it is of the selection no more
				h.State, h.Removed = policy.StateGone, h.State != policy.StateGone
			default:
				continue
			}
			if h.State == policy.StateGone {
				delete(m.has, h.Name)
			}
			some = append(some, h)
		}
		if hosts = some; len(hosts) == 0 && kind == policy.ListDelta && len(l.Hosts) > 0 {
			return nil // it concerns others
		}
	}
	f.post(dispatch.EndpointsListed{Pool: id, Kind: kind, Hosts: hosts})
	return nil
}
