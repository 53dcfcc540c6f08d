package check

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
)

// An engine announces that it drains; whoever receives that may crash at any point before or after it has answered, and others
// with it. What was acknowledged must hold at every router that runs, within the time that the engine goes on serving.

// The fleet of these walks: replicas first, then routers, in zones.
const (
	drainReplicas  = 5
	drainProcesses = 20
	drainZones     = 4
	// drainDeadline counts from the acknowledgement on: drain_timeout_ms is 3 s at least, of which known sessions have a quarter.
	drainDeadline = 2250 * time.Millisecond
	// drainHeartbeat is the engine's interval of heartbeats.
	drainHeartbeat = 1500 * time.Millisecond
	// drainMaxAttempts is how many processes the engine asks before it ends without an acknowledgement.
	drainMaxAttempts = 40
)

// gossipFleet is a fleet of discovery nodes with a network that delays, reorders and loses.
type gossipFleet struct {
	draw     func(n int) int
	nodes    []*discovery.Node
	now      time.Duration
	packets  []packet // in flight
	replies  map[discovery.RequestID]error
	reliable bool // nothing is lost or late
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
	for i := range f.nodes {
		f.start(i)
	}
	f.run(4 * time.Second)
	return f
}

func gossipAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

// start starts a process with nothing in its memory.
func (f *gossipFleet) start(i int) {
	id := func(i int) gossip.PeerID { return gossip.PeerIDOf(fmt.Sprint("n", i)) }
	self := gossip.Peer{ID: id(i), Addr: gossipAddr(i), Zone: uint32(i % drainZones), Flags: gossip.FlagRouter}
	if i < drainReplicas {
		self.Flags = gossip.FlagReplica
	}
	f.nodes[i] = discovery.New(self, uint64(f.draw(1<<30)), 5250*time.Millisecond, func(string) uint32 { return 0 })
	if i < drainReplicas {
		var voters []gossip.PeerID
		for k := range drainReplicas {
			voters = append(voters, id(k))
		}
		f.reduce(i, discovery.Gossip{Event: gossip.VotersChanged{IDs: voters}})
	}
	f.reduce(i, discovery.Gossip{Event: gossip.SeedsChanged{Addrs: []netip.AddrPort{gossipAddr(0), gossipAddr(1), gossipAddr(drainReplicas)}}})
}

// reduce has a process take in an event.
func (f *gossipFleet) reduce(i int, e discovery.Event) {
	for _, effect := range f.nodes[i].Reduce(f.now, f.now.Milliseconds(), e) {
		switch effect := effect.(type) {
		case discovery.SendPacket:
			to := int(effect.To.Addr().As4()[3]) - 1
			f.packets = append(f.packets, packet{i, to, effect.Payload})
		case discovery.Reply:
			f.replies[effect.Request] = effect.Err
		}
	}
}

// step delivers a packet, in any order, or lets 20 ms pass.
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

// run lets time pass.
func (f *gossipFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

// crash ends processes at one moment, with their packets in flight, and starts them again.
func (f *gossipFleet) crash(which func(i int) bool) {
	f.packets = slices.DeleteFunc(f.packets, func(p packet) bool { return which(p.from) })
	for i := range f.nodes {
		if which(i) {
			f.start(i)
		}
	}
}

// drainWalk is the life of one engine that drains.
type drainWalk struct {
	*gossipFleet
	calls       uint64 // the number of the engine's newest call
	lastRequest discovery.RequestID
	// ackedEarly breaks a rule on purpose: a drain counts as acknowledged as soon as it was received.
	ackedEarly bool
}

// announce has the engine call a process, and returns the id of the request.
func (w *drainWalk) announce(to int, s endpoints.State) discovery.RequestID {
	w.lastRequest++
	w.reduce(to, discovery.Heartbeat{Request: w.lastRequest, Record: endpoints.Record{
		ID: "e", Service: "s", Addr: "10.1.0.1:80", Zone: "z", CallCount: w.calls, State: s,
	}})
	return w.lastRequest
}

// drain has the engine announce its drain until a process has acknowledged it, and returns that process. A process that crashes
// before it has answered starts again. ok is false where none has acknowledged.
func (w *drainWalk) drain() (ackedBy int, ok bool) {
	for attempt := range drainMaxAttempts {
		if attempt == 0 || w.draw(2) == 0 { // else it is the very same call
			w.calls++
		}
		to := w.draw(drainProcesses)
		call := w.announce(to, endpoints.StateDraining)
		crashAfter := w.draw(60) // steps; a reply may come first
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

// crashSome ends the process that has acknowledged, and others with it. It reports whether these may be all that know of the
// drain, so that only the engine's next heartbeat tells the rest.
func (w *drainWalk) crashSome(ackedBy int) (needsHeartbeat bool) {
	other := w.draw(drainProcesses)
	switch w.draw(5) {
	case 0: // as many as may be lost
		w.crash(func(i int) bool { return i == ackedBy || i == other })
	case 1:
		w.crash(func(i int) bool { return i == ackedBy || i < drainReplicas })
	case 2:
		w.crash(func(i int) bool { return i == ackedBy || i%drainZones == ackedBy%drainZones })
	case 3:
		w.crash(func(i int) bool {
			e := w.nodes[i].Endpoints.Find("e")
			return i == ackedBy || e != nil && e.State != endpoints.StateReady
		})
		return true
	}
	return false
}

// play plays the walk, and returns what is wrong with its end.
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
	needsHeartbeat := w.crashSome(ackedBy)
	if needsHeartbeat {
		within += drainHeartbeat
	}
	for w.now < ackedAt+within {
		if needsHeartbeat && w.now >= ackedAt+drainHeartbeat {
			w.calls++
			if err, ok := w.replies[w.announce(w.draw(drainProcesses), endpoints.StateDraining)]; !ok || err == nil {
				needsHeartbeat = false
			}
		}
		w.step()
	}
	if needsHeartbeat {
		return ""
	}
	for i, n := range w.nodes[drainReplicas:] { // replicas send no requests
		if e := n.Endpoints.Find("e"); e != nil && e.State == endpoints.StateReady {
			return fmt.Sprintf("process %d still sends it requests %v after it was acknowledged by %d", i+drainReplicas, within, ackedBy)
		}
	}
	return ""
}

// randomDrains plays so many walks of engines that drain, and returns the first fault with its seed.
func randomDrains(walks int, ackedEarly bool) (found string, seed int) {
	for seed := range walks {
		w := drainWalk{gossipFleet: newGossipFleet(draws(seed)), ackedEarly: ackedEarly}
		if found := w.play(); found != "" {
			return found, seed
		}
	}
	return "", walks
}
