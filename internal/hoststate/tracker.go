package hoststate

import (
	"slices"
	"time"

	"notchhinge/policy"
)

// PoolID identifies a pool. A process never reuses the ID of a pool that has ended.
type PoolID int

// Host identifies a host by its name and address.
type Host struct{ Name, Addr string }

// Update is the entry of a host in a pool's endpoint list.
type Update struct {
	Replica   policy.ReplicaID // ID of the host in that pool
	State     policy.State
	StartedAt time.Duration // start of the process; identifies it among the successive processes of the host
	// Deselected qualifies StateGone: the host left this pool only, because the pool's selection changed or a full list no longer
	// names it. Its process may still run.
	Deselected bool
}

// Notification is a state change that the module of another pool must be notified of.
type Notification struct {
	Pool    PoolID
	Replica policy.ReplicaID
	State   policy.State // Ready if a drain or an end was withdrawn
}

// PoolHost is a host under its ID in one pool.
type PoolHost struct {
	Pool    PoolID
	Replica policy.ReplicaID
}

// Tracker holds the state of all hosts in all pools. It is not safe for concurrent use.
type Tracker struct {
	hosts           map[Host]*hostRecord
	drainPrecedence time.Duration // how long a drain in one pool's list overrides Ready in another pool's list
}

// hostRecord is the state of one host in the pools that have it.
type hostRecord struct {
	pools     []poolView
	end       processEnd
	slowStart slowStartAllowance
}

// poolView is the state of a host in one pool.
type poolView struct {
	PoolHost
	listed    policy.State // in the pool's own list
	seen      policy.State // last given to the pool's module
	startedAt time.Duration
}

// processEnd is the end of a host's latest process, as reported by any pool's list.
type processEnd struct {
	state      policy.State  // Draining or Gone; Ready = no end was reported
	startedAt  time.Duration // of the process
	reportedAt time.Duration
	reportedBy PoolID
}

// NewTracker returns a tracker without hosts. drainPrecedence is how long a drain in one pool's list overrides Ready in another
// pool's list.
func NewTracker(drainPrecedence time.Duration) *Tracker {
	return &Tracker{hosts: map[Host]*hostRecord{}, drainPrecedence: drainPrecedence}
}

// Len returns the number of hosts.
func (t *Tracker) Len() int { return len(t.hosts) }

// Update applies an entry of a pool's list. It returns the state that the pool's own module must see, and the notifications for the
// modules of other pools. The time that these modules have to stop sending counts from the first Update that reports an end.
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

// removeFromPool removes a host that is gone from a pool. It notifies the other pools unless the host was only deselected.
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

// readyState returns the state that a pool's module must see for a host that is ready in the pool's list.
func (t *Tracker) readyState(now time.Duration, r *hostRecord, view *poolView) (policy.State, []Notification) {
	end := &r.end
	switch {
	case end.state == policy.StateReady:
	case view.startedAt > end.startedAt: // a later process than the one that ended
		end.state = policy.StateReady
	case end.reportedBy == view.Pool: // withdrawn by the list that reported it
		end.state = policy.StateReady
		return policy.StateReady, r.notifications(view.Pool, policy.StateReady, end.startedAt)
	case now-end.reportedAt > t.drainPrecedence: // this list has had enough time to catch up with the other one
		end.state = policy.StateReady
	default:
		view.seen = end.state
		return end.state, nil
	}
	return policy.StateReady, nil
}

// setView stores the entry of the host in a pool's list.
func (r *hostRecord) setView(pool PoolID, update Update) *poolView {
	i := r.indexOf(pool)
	if i < 0 {
		i = len(r.pools)
		r.pools = append(r.pools, poolView{})
	}
	r.pools[i] = poolView{PoolHost{pool, update.Replica}, update.State, update.State, update.StartedAt}
	return &r.pools[i]
}

// recordEnd records that the process started at startedAt is ending, and returns notifications for the pools whose modules see
// it in a better state.
func (r *hostRecord) recordEnd(now time.Duration, pool PoolID, state policy.State, startedAt time.Duration) []Notification {
	end := &r.end
	alreadyReported := end.state != policy.StateReady && (end.startedAt > startedAt || end.startedAt == startedAt && end.state >= state)
	if !alreadyReported {
		*end = processEnd{state: state, startedAt: startedAt, reportedAt: now, reportedBy: pool}
	} else if end.startedAt == startedAt {
		return nil // the other pools were notified before
	}
	return r.notifications(pool, state, startedAt)
}

// notifications returns the notifications for the other pools about the end of the process started at startedAt, or about the
// withdrawal of that end. They go to the pools whose lists have that process or an earlier one and whose modules see another state.
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

// indexOf returns the index of a pool's view, or -1 if the pool does not have the host.
func (r *hostRecord) indexOf(pool PoolID) int {
	return slices.IndexFunc(r.pools, func(v poolView) bool { return v.Pool == pool })
}

// RemovePool removes a pool and the hosts that only it had. The other pools are not notified.
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

// OtherPools appends the other pools that have a host to all, and returns the extended slice.
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

// IsShared reports whether more than one pool has the host.
func (t *Tracker) IsShared(host Host) bool {
	r := t.hosts[host]
	return r != nil && len(r.pools) > 1
}
