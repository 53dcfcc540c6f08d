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

// Feed delivers the endpoint list of one discovery service to several pools: to each its selection, with its own zone numbers.
// It is safe for concurrent use.
type Feed struct {
	Client *Client

	post           func(dispatch.Event)
	watchRequested chan struct{}
	stop           context.CancelFunc

	// These fields are atomic because the event loop calls RequestWatch and must not wait for mu: events are posted to the loop while
	// mu is held.
	lastCallFailed atomic.Bool  // the last call failed, and firstPool was notified
	firstPool      atomic.Int64 // lowest pool id; its module decides when to retry after a failure

	mu      sync.Mutex
	hasList bool             // a list was received or set
	entries map[string]Entry // by name
	pools   map[hoststate.PoolID]*poolSelection
}

// poolSelection is the part of the list that a pool uses.
type poolSelection struct {
	selection Selection
	zones     []string
	selected  map[string]bool // hosts of the pool; nil if it uses the whole list
}

// NewFeed returns a feed of the service at c.Addr. It overrides c.Deliver and c.Post.
func NewFeed(c Client, post func(dispatch.Event)) *Feed {
	f := &Feed{
		post: post, watchRequested: make(chan struct{}, 1), pools: map[hoststate.PoolID]*poolSelection{}, entries: map[string]Entry{},
	}
	c.Deliver, c.Post = f.deliver, post
	f.Client = NewClient(c)
	return f
}

// Run starts a goroutine that watches on request, until Stop is called or the context is done.
func (f *Feed) Run(ctx context.Context) {
	ctx, f.stop = context.WithCancel(ctx)
	go f.Client.Run(ctx, f.watchRequested)
}

// Stop ends the goroutine that Run started.
func (f *Feed) Stop() { f.stop() }

// RequestWatch starts a watch on behalf of a pool's module. It does not block, and does nothing during a watch. After a failed call
// only the first pool is notified, and only its requests are accepted: if all pools retried, each failure would be followed by one
// call for each pool.
func (f *Feed) RequestWatch(id hoststate.PoolID) {
	if !f.lastCallFailed.Load() || int64(id) == f.firstPool.Load() {
		f.RequestWatchNow()
	}
}

// RequestWatchNow starts a watch, also after a failed call. It does not block.
func (f *Feed) RequestWatchNow() {
	select {
	case f.watchRequested <- struct{}{}:
	default: // requested already
	}
}

// SetInitial sets the list that the feed starts with, such as one from the configuration.
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

// HasList reports whether a list was received or set.
func (f *Feed) HasList() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasList
}

// PoolUse describes how a pool uses a list.
type PoolUse struct {
	Selection Selection
	Zones     []string // a zone number is an index of Zones
	IsNew     bool     // the pool has no hosts yet
}

// SetPool adds a pool or replaces its selection, and delivers the current list at once: as a cached list if the pool is new, as a
// full list otherwise. A pool that is not new keeps its hosts until the feed has a list.
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
	_ = f.deliverTo(id, p, kind, l) // the entries were validated when they were received
}

// RemovePool removes a pool and reports whether another pool remains.
func (f *Feed) RemovePool(id hoststate.PoolID) (anyLeft bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pools, id)
	f.chooseFirstPool()
	return len(f.pools) > 0
}

// chooseFirstPool updates the first pool. If it changes after a failed call, the new first pool is notified of the failure. The
// caller holds the lock.
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

// deliver applies a list of the service, or a failed call, and delivers it to the pools. A list with an invalid entry is
// delivered to no pool.
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
			return err // conversion fails for the first pool, so that no pool has got the list
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

// deliverTo posts a pool's selection of a list. A change that affects only other pools is not posted.
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

// filter returns the hosts that are part of the selection, and those that are no longer part of it, with StateGone.
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
