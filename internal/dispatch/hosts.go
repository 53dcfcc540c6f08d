package dispatch

import (
	"hash/fnv"
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/policy"
)

func (h *Host) identity() hoststate.Host { return hoststate.Host{Name: h.Name, Addr: h.Addr} }

func (h *Host) replica(id policy.ReplicaID) policy.Replica {
	return policy.Replica{ID: id, Zone: h.Zone, Cell: h.Cell, State: h.State, Weight: h.Weight, ReadyAt: h.StartedAt}
}

// endpointsListed applies an update of the pool's endpoint list.
func (p *pool) endpointsListed(e EndpointsListed) {
	d := p.dispatcher
	list := policy.List{Kind: e.Kind}
	if e.Kind != policy.ListFailed && e.Kind != policy.ListCached {
		p.counters.Lists++
		p.counters.ListEntries += len(e.Hosts)
	}
	var notifications []hoststate.Notification
	presence := map[policy.ReplicaID]bool{} // for each host that the list names: true, or false if it is gone
	for _, h := range e.Hosts {
		id := p.hostID(h.Name)
		presence[id] = h.State != policy.StateGone
		if d.sharedHosts != nil {
			notifications = append(notifications, p.updateSharedHost(id, &h)...)
		}
		p.hosts[id] = &h
		list.Replicas = append(list.Replicas, h.replica(id))
	}
	p.module.ListUpdated(d.now, p, list)
	if e.Kind != policy.ListFailed {
		p.removeHosts(presence, e.Kind == policy.ListDelta)
	}
	p.countReadyHosts()
	d.notifyPools(notifications)
}

// removeHosts removes the hosts that are gone and, unless the list is a delta, the hosts that the list does not name. Otherwise the
// maps would grow as hosts are replaced.
func (p *pool) removeHosts(presence map[policy.ReplicaID]bool, isDelta bool) {
	d := p.dispatcher
	for id, h := range p.hosts {
		isPresent, isNamed := presence[id]
		if isPresent || !isNamed && isDelta {
			continue
		}
		if d.sharedHosts != nil && !isNamed {
			d.sharedHosts.Update(d.now, p.id, h.identity(), hoststate.Update{State: policy.StateGone, Deselected: true})
		}
		delete(p.hosts, id)
		delete(p.hostIDs, h.Name)
	}
}

func (p *pool) countReadyHosts() {
	p.readyHosts = 0
	for _, h := range p.hosts {
		if h.State == policy.StateReady {
			p.readyHosts++
		}
	}
}

// hostID returns the ID of a host, a hash of its name. The module's choices depend on the IDs, so every router must derive the same
// ones. On a hash collision the next free number is used.
func (p *pool) hostID(name string) policy.ReplicaID {
	if id, ok := p.hostIDs[name]; ok {
		return id
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	id := policy.ReplicaID(h.Sum32())
	for p.hosts[id] != nil {
		id++
	}
	p.hostIDs[name] = id
	return id
}

// trackSharedHosts starts to track the hosts that pools share. It is called when the second pool is added.
func (d *Dispatcher) trackSharedHosts() {
	d.sharedHosts = hoststate.NewTracker(d.limits.DrainPrecedence)
	for _, p := range d.pools {
		for id, h := range p.hosts {
			d.sharedHosts.Update(d.now, p.id, h.identity(), hoststate.Update{Replica: id, State: h.State, StartedAt: h.StartedAt})
		}
	}
}

// updateSharedHost reconciles an entry of this pool's list with the other pools' lists and sets h.State to the state that this
// pool's module must see. It returns the notifications for the other pools.
func (p *pool) updateSharedHost(id policy.ReplicaID, h *Host) []hoststate.Notification {
	d := p.dispatcher
	previous := p.hosts[id]
	switch {
	case previous == nil:
	case h.State == policy.StateGone:
		h.Addr = previous.Addr // a removal need not repeat the address
	case h.Addr != previous.Addr: // the name moved to another address, which is another host
		d.sharedHosts.Update(d.now, p.id, previous.identity(), hoststate.Update{State: policy.StateGone, Deselected: true})
	}
	update := hoststate.Update{Replica: id, State: h.State, StartedAt: h.StartedAt, Deselected: h.Deselected}
	state, notifications := d.sharedHosts.Update(d.now, p.id, h.identity(), update)
	h.State = state
	return notifications
}

// notifyPools passes state changes that one pool's list reported to the modules of the other pools that share the hosts.
func (d *Dispatcher) notifyPools(notifications []hoststate.Notification) {
	for _, n := range notifications {
		p := d.pools[n.Pool]
		if p == nil || p.hosts[n.Replica] == nil {
			continue
		}
		h := *p.hosts[n.Replica]
		if h.State == policy.StateReady {
			p.readyHosts--
		}
		h.State = n.State
		if h.State == policy.StateReady {
			p.readyHosts++
		}
		p.hosts[n.Replica] = &h
		p.module.ListUpdated(d.now, p, policy.List{Kind: policy.ListDelta, Replicas: []policy.Replica{h.replica(n.Replica)}})
	}
}

// notifyUnreachable reports a failed connection or a reset to the other pools that share the host, as a failed probe.
func (p *pool) notifyUnreachable(id policy.ReplicaID) {
	d, h := p.dispatcher, p.hosts[id]
	if h == nil {
		return
	}
	for _, other := range d.sharedHosts.OtherPools(nil, p.id, h.identity()) {
		if q := d.pools[other.Pool]; q != nil {
			q.module.ProbeFinished(d.now, q, policy.ProbeResult{Replica: other.Replica, Result: policy.ResultConnectFailed})
		}
	}
}

// slowStartLimitReached reports whether a shared host in slow start has received its share of the traffic for now. If not, it takes
// one request out of the host's allowance.
func (p *pool) slowStartLimitReached(h *Host) bool {
	d := p.dispatcher
	if d.sharedHosts == nil || h.StartedAt == 0 || d.now >= h.StartedAt+p.slowStart || !d.sharedHosts.IsShared(h.identity()) {
		return false
	}
	traffic := []hoststate.PoolTraffic{p.traffic(h.StartedAt)}
	for _, other := range d.sharedHosts.OtherPools(nil, p.id, h.identity()) {
		if q := d.pools[other.Pool]; q != nil {
			traffic = append(traffic, q.traffic(h.StartedAt))
		}
	}
	return !d.sharedHosts.TryTakeSlowStart(h.identity(), h.StartedAt, traffic)
}

// traffic returns the pool's traffic and the share of it that a host started at startedAt may receive.
func (p *pool) traffic(startedAt time.Duration) hoststate.PoolTraffic {
	return hoststate.PoolTraffic{
		Pool: p.id, Arrived: float64(p.counters.Received), Hosts: float64(p.readyHosts),
		Share: hoststate.SlowStartShare(p.dispatcher.now-startedAt, p.slowStart, p.slowStartInitial),
	}
}
