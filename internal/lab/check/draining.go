package check

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
)

// An engine announces that it drains. The process that receives the announcement may crash at any point before or after its
// reply, and others with it. Every running router must learn of an acknowledged drain before the engine stops serving.

// The fleet of these walks: replicas first, then routers, in zones.
const (
	drainReplicas  = 5
	drainProcesses = 20
	drainZones     = 4
	// drainDeadline counts from the acknowledgement: drain_timeout_ms is at least 3 s, and its last quarter is left for requests of
	// sessions on the engine.
	drainDeadline = 2250 * time.Millisecond
	// drainHeartbeat is the engine's heartbeat interval.
	drainHeartbeat = 1500 * time.Millisecond
	// drainMaxAttempts bounds the announcements of an engine that gets no acknowledgement.
	drainMaxAttempts = 40
)

// gossipFleet is a fleet of discovery nodes with a network that delays, reorders and loses packets.
type gossipFleet struct {
	draw     func(n int) int
	nodes    []*discovery.Node
	now      time.Duration
	packets  []packet // in flight
	replies  map[discovery.RequestID]error
	disks    []map[string]endpoints.Record // stored records, by replica
	reliable bool                          // packets are neither lost nor reordered
}

type packet struct {
	from, to int
	payload  []byte
}

// newGossipFleet returns a fleet that has run for 4 s over a reliable network.
func newGossipFleet(draw func(n int) int) *gossipFleet {
	f := &gossipFleet{
		draw: draw, nodes: make([]*discovery.Node, drainProcesses), replies: map[discovery.RequestID]error{}, reliable: true, now: time.Hour,
	}
	for range drainReplicas {
		f.disks = append(f.disks, map[string]endpoints.Record{})
	}
	for i := range f.nodes {
		f.start(i)
	}
	f.run(4 * time.Second)
	return f
}

func gossipAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

// start starts a process with empty memory, and with the records on its disk.
func (f *gossipFleet) start(i int) {
	id := func(i int) gossip.PeerID { return gossip.PeerIDOf(fmt.Sprint("n", i)) }
	self := gossip.Peer{ID: id(i), Addr: gossipAddr(i), Zone: uint32(i % drainZones), Flags: gossip.FlagRouter}
	if i < drainReplicas {
		self.Flags = gossip.FlagReplica
	}
	f.nodes[i] = discovery.New(discovery.Options{
		Self: self, Seed: uint64(f.draw(1 << 30)), HeartbeatTimeout: 5250 * time.Millisecond, ZoneHash: func(string) uint32 { return 0 },
		MinStored: drainReplicas/2 + 1,
	})
	if i < drainReplicas {
		f.reduce(i, discovery.RecordsRestored{Records: slices.Collect(maps.Values(f.disks[i]))})
		var voters []gossip.PeerID
		for k := range drainReplicas {
			voters = append(voters, id(k))
		}
		f.reduce(i, discovery.Gossip{Event: gossip.VotersChanged{IDs: voters}})
	}
	f.reduce(i, discovery.Gossip{Event: gossip.SeedsChanged{Addrs: []netip.AddrPort{gossipAddr(0), gossipAddr(1), gossipAddr(drainReplicas)}}})
}

// reduce passes an event to a process, and collects the packets and replies that it sends. Records are stored at once.
func (f *gossipFleet) reduce(i int, e discovery.Event) {
	for _, effect := range slices.Clone(f.nodes[i].Reduce(f.now, f.now.Milliseconds(), e)) {
		switch effect := effect.(type) {
		case discovery.SendPacket:
			to := int(effect.To.Addr().As4()[3]) - 1
			f.packets = append(f.packets, packet{i, to, effect.Payload})
		case discovery.Reply:
			f.replies[effect.Request] = effect.Err
		case discovery.StoreRecords:
			for _, r := range effect.Records {
				f.disks[i][r.ID] = r
			}
			f.reduce(i, discovery.RecordsStored{Request: effect, Stored: true})
		}
	}
}

// step delivers one packet, or advances the time by 20 ms. An unreliable network reorders packets and loses one in ten.
func (f *gossipFleet) step() {
	if len(f.packets) > 0 && (f.reliable || f.draw(30) > 0) {
		at := 0
		if !f.reliable {
			at = f.draw(len(f.packets))
		}
		p := f.packets[at]
		f.packets = slices.Delete(f.packets, at, at+1)
		if f.reliable || f.draw(10) > 0 {
			f.reduce(p.to, discovery.Gossip{Event: gossip.PacketReceived{Payload: p.payload}})
		}
		return
	}
	f.now += 20 * time.Millisecond
	for i, n := range f.nodes {
		if n.NextTimer() <= f.now {
			f.reduce(i, discovery.Gossip{Event: gossip.Tick{}})
		}
	}
}

// run advances the time by d.
func (f *gossipFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

// crash crashes processes and restarts them, all at the same moment. Their packets in flight are lost.
func (f *gossipFleet) crash(which func(i int) bool) {
	f.packets = slices.DeleteFunc(f.packets, func(p packet) bool { return which(p.from) })
	for i := range f.nodes {
		if which(i) {
			f.start(i)
		}
	}
}

// drainWalk is a walk of one engine that drains.
type drainWalk struct {
	*gossipFleet
	calls       uint64 // number of the engine's newest heartbeat call
	lastRequest discovery.RequestID
	// ackedEarly breaks a rule on purpose: a drain counts as acknowledged as soon as a process has received it.
	ackedEarly bool
}

// announce sends the engine's state to a process, and returns the ID of the request.
func (w *drainWalk) announce(to int, s endpoints.State) discovery.RequestID {
	w.lastRequest++
	w.reduce(to, discovery.Heartbeat{Request: w.lastRequest, Record: drainRecord(w.calls, s)})
	return w.lastRequest
}

// drainRecord returns the record that a heartbeat of the engine reports.
func drainRecord(calls uint64, s endpoints.State) endpoints.Record {
	return endpoints.Record{ID: "e", Service: "s", Addr: "10.1.0.1:80", Zone: "z", CallCount: calls, State: s}
}

// drain announces the drain to random processes until one acknowledges it, and returns that process. Any of
// them may crash before its reply, and restarts. ok is false if none has acknowledged.
func (w *drainWalk) drain() (ackedBy int, ok bool) {
	for attempt := range drainMaxAttempts {
		if attempt == 0 || w.draw(2) == 0 { // otherwise the same call is repeated
			w.calls++
		}
		to := w.draw(drainProcesses)
		call := w.announce(to, endpoints.StateDraining)
		crashAfter := w.draw(60) // steps; the reply may arrive earlier
		replied, err := w.ackedEarly, error(nil)
		for n := 0; !replied && n < 1000 && n != crashAfter; n++ {
			w.step()
			err, replied = w.replies[call]
		}
		if replied && err == nil {
			return to, true
		}
		if !replied {
			w.crash(func(i int) bool { return i == to })
		}
	}
	return 0, false
}

// crashSome restarts the process that has acknowledged, and others with it. It reports whether every process with a record of the drain
// has restarted. Then as many disks as tolerated are lost too, and a heartbeat from before the drain arrives late at a random process.
func (w *drainWalk) crashSome(ackedBy int) (hasCrashedAll bool) {
	other := w.draw(drainProcesses)
	switch w.draw(5) {
	case 0: // as many as the fleet tolerates
		w.crash(func(i int) bool { return i == ackedBy || i == other })
	case 1:
		w.crash(func(i int) bool { return i == ackedBy || i < drainReplicas })
	case 2:
		w.crash(func(i int) bool { return i == ackedBy || i%drainZones == ackedBy%drainZones })
	case 3:
		for range (drainReplicas - 1) / 2 {
			clear(w.disks[w.draw(drainReplicas)])
		}
		w.crash(func(i int) bool {
			e := w.nodes[i].Endpoints.Find("e")
			return i == ackedBy || e != nil && e.State != endpoints.StateReady
		})
		return true
	}
	return false
}

// play runs the walk, and returns the violation at its end.
func (w *drainWalk) play() string {
	w.calls = 3
	w.announce(w.draw(drainProcesses), endpoints.StateReady)
	w.run(2 * time.Second)
	w.reliable = false
	ackedBy, ok := w.drain()
	if !ok {
		return "" // the engine ends without an acknowledgement
	}
	ackedAt, within := w.now, drainDeadline
	if w.crashSome(ackedBy) {
		within += drainHeartbeat // the processes first find each other again
		w.run(time.Duration(w.draw(int(within - drainHeartbeat/2))))
		w.reduce(w.draw(drainProcesses), discovery.Heartbeat{Record: drainRecord(1, endpoints.StateReady)})
	}
	for w.now < ackedAt+within {
		w.step()
	}
	for i, n := range w.nodes[drainReplicas:] { // replicas send no requests
		if e := n.Endpoints.Find("e"); e != nil && e.State == endpoints.StateReady {
			return fmt.Sprintf("process %d still routes requests to the draining engine %v after process %d acknowledged the drain", i+drainReplicas, within, ackedBy)
		}
	}
	return ""
}

// randomDrains runs a walk of each seed, and returns the first violation with its seed.
func randomDrains(seeds int, ackedEarly bool) (violation string, seed int) {
	for seed := range seeds {
		w := drainWalk{gossipFleet: newGossipFleet(draws(seed)), ackedEarly: ackedEarly}
		if violation := w.play(); violation != "" {
			return violation, seed
		}
	}
	return "", seeds
}
