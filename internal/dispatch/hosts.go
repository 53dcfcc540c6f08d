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

// endpointsListed takes in what a pool's endpoint list says.
func (p *pool) endpointsListed(e EndpointsListed) {
	d := p.dispatcher
	list := policy.List{Kind: e.Kind}
	if e.Kind != policy.ListFailed && e.Kind != policy.ListCached {
		p.counters.Lists++
		p.counters.ListEntries += len(e.Hosts)
	}
	var notifications []hoststate.Notification
	isListed := map[policy.ReplicaID]bool{} // of those in the list: whether it is not gone
	for _, h := range e.Hosts {
		id := p.hostID(h.Name)
		isListed[id] = h.State != policy.StateGone
		if d.sharedHosts != nil {
			notifications = append(notifications, p.updateSharedHost(id, &h)...)
		}
		p.hosts[id] = &h
		list.Replicas = append(list.Replicas, h.replica(id))
	}
	p.module.Listed(d.now, p, list)
	if e.Kind != policy.ListFailed {
		p.removeHosts(isListed, e.Kind == policy.ListDelta)
	}
	p.countReadyHosts()
	d.notifyPools(notifications)
}

// removeHosts forgets the hosts that are gone, and those that a whole list does not name: hosts are replaced without end.
func (p *pool) removeHosts(isListed map[policy.ReplicaID]bool, isDelta bool) {
	d := p.dispatcher
	for id, h := range p.hosts {
		isPresent, isNamed := isListed[id]
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

// hostID returns a host's number. It is a hash of the name, since the module draws by it and all routers should draw alike; a
// second name with the same hash gets the next number.
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

// trackSharedHosts begins to track the hosts that pools share; with one pool there are none.
func (d *Dispatcher) trackSharedHosts() {
	d.sharedHosts = hoststate.NewTracker(d.limits.DrainPrecedence)
	for _, p := range d.pools {
		for id, h := range p.hosts {
			d.sharedHosts.Update(d.now, p.id, h.identity(), hoststate.Update{Replica: id, State: h.State, StartedAt: h.StartedAt})
		}
	}
}

// updateSharedHost compares what a list says of a host with what other pools' lists said of it, and changes its state to the one
// that this pool must see. It returns what the other pools must be notified of.
func (p *pool) updateSharedHost(id policy.ReplicaID, h *Host) []hoststate.Notification {
	d := p.dispatcher
	previous := p.hosts[id]
	switch {
	case previous == nil:
	case h.State == policy.StateGone:
		h.Addr = previous.Addr // that it had, whatever its last entry says
	case h.Addr != previous.Addr: // it has moved, and is another host
		d.sharedHosts.Update(d.now, p.id, previous.identity(), hoststate.Update{State: policy.StateGone, Deselected: true})
	}
	update := hoststate.Update{Replica: id, State: h.State, StartedAt: h.StartedAt, Deselected: h.Deselected}
	state, notifications := d.sharedHosts.Update(d.now, p.id, h.identity(), update)
	h.State = state
	return notifications
}

// notifyPools tells modules what other pools' lists said of hosts that they share.
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
		p.module.Listed(d.now, p, policy.List{Kind: policy.ListDelta, Replicas: []policy.Replica{h.replica(n.Replica)}})
	}
}

// notifyUnreachable tells the other pools that share a host that it could not be reached, or that it reset a connection.
func (p *pool) notifyUnreachable(id policy.ReplicaID) {
	d, h := p.dispatcher, p.hosts[id]
	if h == nil {
		return
	}
	for _, other := range d.sharedHosts.OtherPools(nil, p.id, h.identity()) {
		if q := d.pools[other.Pool]; q != nil {
			q.module.Probed(d.now, q, policy.ProbeResult{Replica: other.Replica, Result: policy.ResultConnectFailed})
		}
	}
}

// slowStartLimitReached reports whether a host in slow start that several pools share has had all that it may have for now.
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

// traffic returns what the pool has seen, and the share of it that a host born at bornAt may have.
func (p *pool) traffic(startedAt time.Duration) hoststate.PoolTraffic {
	return hoststate.PoolTraffic{
		Pool: p.id, Arrived: float64(p.counters.Received), Hosts: float64(p.readyHosts),
		Share: hoststate.SlowStartShare(p.dispatcher.now-startedAt, p.slowStart, p.slowStartInitial),
	}
}
