package hoststate

import (
	"slices"
	"time"

	"notchhinge/policy"
)

// PoolID identifies a pool. No two pools of a process ever have the same id, even one after the other.
type PoolID int

// Host identifies a host.
type Host struct{ Name, Addr string }

// Update is what a pool's endpoint list says of a host.
type Update struct {
	Replica   policy.ReplicaID // the host's number in that pool
	State     policy.State
	StartedAt time.Duration
	// Deselected: the host is Gone from the pool, which says nothing of the host itself: a selection was changed, or a whole list
	// does not name it any more.
	Deselected bool
}

// Notification is what another pool's module must be notified of.
type Notification struct {
	Pool    PoolID
	Replica policy.ReplicaID
	State   policy.State // Ready where an end was withdrawn
}

// PoolHost is a host as one pool numbers it.
type PoolHost struct {
	Pool    PoolID
	Replica policy.ReplicaID
}

// Tracker knows all hosts of all pools. A host that only one pool has costs an entry and nothing else. It is not safe for
// concurrent use.
type Tracker struct {
	hosts           map[Host]*hostRecord
	drainPrecedence time.Duration // for so long a drain that one list reported prevails against another's list that says Ready
}

type hostRecord struct {
	pools     []poolView
	end       processEnd
	slowStart slowStartAllowance
}

// poolView is a host as one pool sees it.
type poolView struct {
	PoolHost
	listed    policy.State // by the pool's own list
	seen      policy.State // by the pool's module
	startedAt time.Duration
}

// processEnd is the end of the latest process at a host that any pool's list reported.
type processEnd struct {
	state      policy.State  // Ready = none; else Draining or Gone
	startedAt  time.Duration // of the process
	reportedAt time.Duration
	reportedBy PoolID
}

// NewTracker returns a tracker without hosts. drainPrecedence is how long a drain that one list reported prevails against
// another pool's list.
func NewTracker(drainPrecedence time.Duration) *Tracker {
	return &Tracker{hosts: map[Host]*hostRecord{}, drainPrecedence: drainPrecedence}
}

// Len returns the number of hosts.
func (t *Tracker) Len() int { return len(t.hosts) }

// Update takes in what a pool's list says of a host. It returns the state in which the pool's own module must see the host, and
// what the modules of other pools must be notified of. The time within which they must stop counts from the first Update.
func (t *Tracker) Update(now time.Duration, pool PoolID, host Host, update Update) (policy.State, []Notification) {
	r := t.hosts[host]
	if r == nil {
		if update.State == policy.StateGone {
			return policy.StateGone, nil
		}
		r = &hostRecord{}
		t.hosts[host] = r
	}
	if update.State == policy.StateGone {
		return policy.StateGone, t.removeFromPool(now, pool, host, update.Deselected)
	}
	view := r.setView(pool, update)
	if update.State == policy.StateDraining {
		return policy.StateDraining, r.recordEnd(now, pool, policy.StateDraining, update.StartedAt)
	}
	return t.readyState(now, r, view)
}

// removeFromPool takes a host that is gone out of a pool, and notifies the others unless only the pool's selection changed.
func (t *Tracker) removeFromPool(now time.Duration, pool PoolID, host Host, deselected bool) []Notification {
	r := t.hosts[host]
	i := r.indexOf(pool)
	if i < 0 {
		return nil
	}
	startedAt := r.pools[i].startedAt
	r.pools = slices.Delete(r.pools, i, i+1)
	if len(r.pools) == 0 {
		delete(t.hosts, host)
		return nil
	}
	if deselected {
		return nil
	}
	return r.recordEnd(now, pool, policy.StateGone, startedAt)
}

// readyState returns how a pool's module must see a host that its list calls ready.
func (t *Tracker) readyState(now time.Duration, r *hostRecord, view *poolView) (policy.State, []Notification) {
	end := &r.end
	switch {
	case end.state == policy.StateReady:
	case view.startedAt > end.startedAt: // another process than the one that ended
		end.state = policy.StateReady
	case end.reportedBy == view.Pool: // withdrawn by the list that it came from
		end.state = policy.StateReady
		return policy.StateReady, r.notifications(view.Pool, policy.StateReady, end.startedAt)
	case now-end.reportedAt > t.drainPrecedence: // this list had long enough to learn what the other one knew
		end.state = policy.StateReady
	default:
		view.seen = end.state
		return end.state, nil
	}
	return policy.StateReady, nil
}

// setView notes what a pool's list says of the host.
func (r *hostRecord) setView(pool PoolID, update Update) *poolView {
	i := r.indexOf(pool)
	if i < 0 {
		i = len(r.pools)
		r.pools = append(r.pools, poolView{})
	}
	r.pools[i] = poolView{PoolHost{pool, update.Replica}, update.State, update.State, update.StartedAt}
	return &r.pools[i]
}

// recordEnd notes that the process that was born at bornAt ends, and notifies the pools that still see it in a better state.
func (r *hostRecord) recordEnd(now time.Duration, pool PoolID, state policy.State, startedAt time.Duration) []Notification {
	end := &r.end
	alreadyReported := end.state != policy.StateReady && (end.startedAt > startedAt || end.startedAt == startedAt && end.state >= state)
	if !alreadyReported {
		*end = processEnd{state: state, startedAt: startedAt, reportedAt: now, reportedBy: pool}
	} else if end.startedAt == startedAt {
		return nil // all were notified
	}
	return r.notifications(pool, state, startedAt)
}

// notifications lists the other pools that must be notified of the end of the process born at bornAt, or that it was withdrawn: those whose
// lists have that process, or one before it, and whose modules see it in another state.
func (r *hostRecord) notifications(pool PoolID, state policy.State, startedAt time.Duration) (all []Notification) {
	for i := range r.pools {
		v := &r.pools[i]
		isWithdrawn := state == policy.StateReady && v.listed == policy.StateReady && v.seen != policy.StateReady
		if v.Pool != pool && v.startedAt <= startedAt && (v.seen < state || isWithdrawn) {
			v.seen = state
			all = append(all, Notification{v.Pool, v.Replica, state})
		}
	}
	return all
}

// indexOf returns the index of a pool's view, or -1.
func (r *hostRecord) indexOf(pool PoolID) int {
	return slices.IndexFunc(r.pools, func(v poolView) bool { return v.Pool == pool })
}

// RemovePool forgets a pool.
func (t *Tracker) RemovePool(pool PoolID) {
	for host, r := range t.hosts {
		i := r.indexOf(pool)
		if i < 0 {
			continue
		}
		r.pools = slices.Delete(r.pools, i, i+1)
		if len(r.pools) == 0 {
			delete(t.hosts, host)
		}
	}
}

// OtherPools appends to all the other pools that have a host.
func (t *Tracker) OtherPools(all []PoolHost, pool PoolID, host Host) []PoolHost {
	r := t.hosts[host]
	if r == nil || len(r.pools) < 2 {
		return all
	}
	for i := range r.pools {
		if r.pools[i].Pool != pool {
			all = append(all, r.pools[i].PoolHost)
		}
	}
	return all
}

// IsShared reports whether more than one pool has a host.
func (t *Tracker) IsShared(host Host) bool {
	r := t.hosts[host]
	return r != nil && len(r.pools) > 1
}
