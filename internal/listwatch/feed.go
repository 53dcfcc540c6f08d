package listwatch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/hoststate"
	"notchhinge/policy"
)

// Feed gives the list of one discovery service to several pools: to each its selection, with its own numbers of zones.
type Feed struct {
	Client *Client

	post           func(dispatch.Event)
	watchRequested chan struct{}
	stop           context.CancelFunc

	// The loop requests watches, and must not wait for mu, which is held while events are posted to it.
	lastCallFailed atomic.Bool  // and the first pool was notified
	firstPool      atomic.Int64 // the pool with the lowest id; its module paces the calls after a failure

	mu      sync.Mutex
	hasList bool             // a list has come, or was given
	entries map[string]Entry // by name
	pools   map[hoststate.PoolID]*poolSelection
}

// poolSelection is what a pool uses of the list.
type poolSelection struct {
	selection Selection
	zones     []string
	selected  map[string]bool // hosts that the pool has; nil where it uses all
}

// NewFeed returns a feed of the service at c.Addr. It sets c.Deliver and c.Post.
func NewFeed(c Client, post func(dispatch.Event)) *Feed {
	f := &Feed{
		post: post, watchRequested: make(chan struct{}, 1), pools: map[hoststate.PoolID]*poolSelection{}, entries: map[string]Entry{},
	}
	c.Deliver, c.Post = f.deliver, post
	f.Client = NewClient(c)
	return f
}

// Run starts a goroutine that watches as requested, until Stop or until the context is done.
func (f *Feed) Run(ctx context.Context) {
	ctx, f.stop = context.WithCancel(ctx)
	go f.Client.Run(ctx, f.watchRequested)
}

// Stop ends the watch.
func (f *Feed) Stop() { f.stop() }

// RequestWatch has the service watched from now on, as a pool's module wants it. It does not wait; during a watch it does nothing.
// After a failed call only the first pool hears of the failure, and only its module says when to call again: were it all of
// them, each failure would be followed by as many calls as there are pools, and each of these would fail for all.
func (f *Feed) RequestWatch(id hoststate.PoolID) {
	if !f.lastCallFailed.Load() || int64(id) == f.firstPool.Load() {
		f.RequestWatchNow()
	}
}

// RequestWatchNow is RequestWatch for no pool in particular.
func (f *Feed) RequestWatchNow() {
	select {
	case f.watchRequested <- struct{}{}:
	default: // requested already
	}
}

// SetInitial sets the list that the feed starts with.
func (f *Feed) SetInitial(l List) {
	f.Client.SetInitial(l)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasList = f.hasList || len(l.Hosts) > 0
	for _, e := range l.Hosts {
		if e.Health != healthGone {
			f.entries[e.Name] = e
		}
	}
}

// HasList reports whether a list has come, or was given.
func (f *Feed) HasList() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasList
}

// PoolUse is what a pool uses of a list.
type PoolUse struct {
	Selection Selection
	Zones     []string // numbers of zones are indexes of it
	IsNew     bool     // the pool has no hosts yet
}

// SetPool gives a pool its selection, and at once what is known of it: a cached list if the pool is new, else a full one. A pool
// that is not new keeps its hosts while no list is known here.
func (f *Feed) SetPool(id hoststate.PoolID, use PoolUse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &poolSelection{selection: use.Selection, zones: use.Zones}
	if !use.Selection.isEverything() {
		p.selected = map[string]bool{}
	}
	f.pools[id] = p
	f.chooseFirstPool()
	if !use.IsNew && !f.hasList {
		return
	}
	l := List{IsFull: true, Hosts: slices.SortedFunc(maps.Values(f.entries), func(x, y Entry) int { return strings.Compare(x.Name, y.Name) })}
	kind := policy.ListFull
	if use.IsNew {
		kind = policy.ListCached
	}
	_ = f.deliverTo(id, p, kind, l) // its entries were valid when they came
}

// RemovePool removes a pool and reports whether any is left.
func (f *Feed) RemovePool(id hoststate.PoolID) (anyLeft bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pools, id)
	f.chooseFirstPool()
	return len(f.pools) > 0
}

// chooseFirstPool finds the first pool. If that is another one now and the last call failed, it must hear of the failure. The
// lock is held.
func (f *Feed) chooseFirstPool() {
	first := hoststate.PoolID(-1)
	for id := range f.pools {
		if first < 0 || id < first {
			first = id
		}
	}
	if f.firstPool.Swap(int64(first)) != int64(first) && f.lastCallFailed.Load() && first >= 0 {
		f.post(dispatch.EndpointsListed{Pool: first, Kind: policy.ListFailed})
	}
}

// deliver takes in an answer of the service, or a failed call. A list with an invalid entry is given to no pool.
func (f *Feed) deliver(kind policy.ListKind, l List) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastCallFailed.Store(kind == policy.ListFailed)
	if kind == policy.ListFailed {
		if len(f.pools) > 0 {
			f.post(dispatch.EndpointsListed{Pool: hoststate.PoolID(f.firstPool.Load()), Kind: kind})
		}
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(f.pools)) {
		if err := f.deliverTo(id, f.pools[id], kind, l); err != nil {
			return err // an invalid entry is found for the first pool already
		}
	}
	f.hasList = true
	if kind == policy.ListFull {
		clear(f.entries)
	}
	for _, e := range l.Hosts {
		if e.Health == healthGone {
			delete(f.entries, e.Name)
		} else {
			f.entries[e.Name] = e
		}
	}
	return nil
}

// deliverTo gives a pool its part of a list. A change that concerns other pools only is not delivered.
func (f *Feed) deliverTo(id hoststate.PoolID, p *poolSelection, kind policy.ListKind, l List) error {
	hosts, err := l.DispatchHosts(p.zones)
	if err != nil {
		return err
	}
	if p.selected != nil {
		hosts = p.filter(kind, l, hosts)
		if len(hosts) == 0 && kind == policy.ListDelta && len(l.Hosts) > 0 {
			return nil
		}
	}
	f.post(dispatch.EndpointsListed{Pool: id, Kind: kind, Hosts: hosts})
	return nil
}

// filter returns the hosts that are, or were, part of the selection. One that is no longer part of it is gone from the pool.
func (p *poolSelection) filter(kind policy.ListKind, l List, hosts []dispatch.Host) []dispatch.Host {
	if kind != policy.ListDelta {
		clear(p.selected)
	}
	kept := hosts[:0]
	for i, h := range hosts {
		switch {
		case p.selection.Matches(&l.Hosts[i]):
			p.selected[h.Name] = h.State != policy.StateGone
		case p.selected[h.Name]:
			h.State, h.Deselected = policy.StateGone, h.State != policy.StateGone
		default:
			continue
		}
		if h.State == policy.StateGone {
			delete(p.selected, h.Name)
		}
		kept = append(kept, h)
	}
	return kept
}
