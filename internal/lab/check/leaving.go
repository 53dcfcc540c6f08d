package check

import (
	"fmt"
	"net/netip"
	"time"

	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
)

// An engine says that it leaves; whoever hears it may die at any point before or after it has answered, and others with it.
// What was acknowledged must hold at everybody who lives, within the time that the engine goes on serving.

// The fleet of these lives: keepers and routers in zones.
const (
	leaveKeepers = 5
	leaveNodes   = 20
	leaveZones   = 4
	leaveWithin  = 2250 * time.Millisecond // from the acknowledgement on: drain_timeout_ms is 3 s at least, of which known sessions have a quarter
	leaveBeat    = 1500 * time.Millisecond // of the engine
)

// hall is a fleet of news nodes with a network that delays, reorders and loses.
type hall struct {
	draw    func(n int) int
	nodes   []*discovery.Node
	now     time.Duration
	wires   []parcel
	answers map[any]error
	hasty   bool // calls are answered as they come: must be found out
	calm    bool // nothing is lost or late
}

type parcel struct {
	from, to int
	b        []byte
}

func newHall(draw func(n int) int) *hall {
	h := &hall{draw: draw, nodes: make([]*discovery.Node, leaveNodes), answers: map[any]error{}, calm: true, now: time.Hour}
	for i := range h.nodes {
		h.start(i)
	}
	h.pass(4 * time.Second)
	return h
}

func hallAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

// start starts a process with nothing in its memory.
func (h *hall) start(i int) {
	self := gossip.Peer{ID: gossip.Hash(fmt.Sprint("n", i)), Addr: hallAddr(i), Zone: uint32(i % leaveZones), Flags: gossip.FlagRouter}
	if i < leaveKeepers {
		self.Flags = gossip.FlagReplica
	}
	h.nodes[i] = discovery.New(self, uint64(h.draw(1<<30)), 5250*time.Millisecond, func(string) uint32 { return 0 })
	if i < leaveKeepers {
		var ids []uint64
		for k := range leaveKeepers {
			ids = append(ids, gossip.Hash(fmt.Sprint("n", k)))
		}
		h.take(i, gossip.VotersChanged{IDs: ids})
	}
	h.take(i, gossip.SeedsChanged{Addrs: []netip.AddrPort{hallAddr(0), hallAddr(1), hallAddr(leaveKeepers)}})
}

// take has a process take an event.
func (h *hall) take(i int, e discovery.Event) {
	for _, f := range h.nodes[i].Reduce(h.now, h.now.Milliseconds(), e) {
		switch f := f.(type) {
		case gossip.SendPacket:
			to := int(f.To.Addr().As4()[3]) - 1
			h.wires = append(h.wires, parcel{i, to, f.Payload})
		case discovery.Reply:
			h.answers[f.Of] = f.Err
		}
	}
}

// step delivers something, in any order, or lets a little time pass.
func (h *hall) step() {
	if len(h.wires) > 0 && (h.calm || h.draw(30) > 0) {
		at := 0
		if !h.calm {
			at = h.draw(len(h.wires))
		}
		p := h.wires[at]
		h.wires = append(h.wires[:at], h.wires[at+1:]...)
		if h.calm || h.draw(10) > 0 {
			h.take(p.to, gossip.PacketReceived{Payload: p.b})
		}
		return
	}
	h.now += 20 * time.Millisecond
	for i, n := range h.nodes {
		if n.NextTimer() <= h.now {
			h.take(i, gossip.Tick{})
		}
	}
}

// pass lets time pass.
func (h *hall) pass(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.step()
	}
}

// die ends processes at one moment, with what they have on the way, and starts them again.
func (h *hall) die(which func(i int) bool) {
	kept := h.wires[:0]
	for _, p := range h.wires {
		if !which(p.from) {
			kept = append(kept, p)
		}
	}
	h.wires = kept
	for i := range h.nodes {
		if which(i) {
			h.start(i)
		}
	}
}

// leave plays the life of an engine that leaves, and says what is wrong with how it ended.
func leave(draw func(n int) int, hasty bool) string {
	h := newHall(draw)
	h.hasty = hasty
	call := func(i int, calls uint64, s endpoints.State) any {
		of := new(int)
		h.take(i, discovery.Heartbeat{Of: of, Record: endpoints.Record{ID: "e", Service: "s", Addr: "10.1.0.1:80", Zone: "z", CallCount: calls, State: s}})
		return of
	}
	call(draw(leaveNodes), 3, endpoints.StateReady)
	h.pass(2 * time.Second)
	h.calm = false
	calls, who := uint64(3), 0
	for try := 0; ; try++ {
		if try == 40 {
			return "" // it has found nobody, and ends without an acknowledgement
		}
		if try == 0 || draw(2) == 0 { // else it is the very same call
			calls++
		}
		who = draw(leaveNodes)
		of := call(who, calls, endpoints.StateDraining)
		dies := draw(60) // a moment between hearing and answering, or none
		answered, err := hasty, error(nil)
		for n := 0; !answered && n < 1000 && n != dies; n++ {
			h.step()
			err, answered = h.answers[of]
		}
		if answered && err == nil {
			break
		}
		if !answered {
			h.die(func(i int) bool { return i == who })
		}
	}
	acked := h.now
	other := draw(leaveNodes)
	again := false
	switch draw(5) {
	case 0: // as many as may be lost
		h.die(func(i int) bool { return i == who || i == other })
	case 1:
		h.die(func(i int) bool { return i == who || i < leaveKeepers })
	case 2:
		h.die(func(i int) bool { return i == who || i%leaveZones == who%leaveZones })
	case 3: // all who know, or may: then its next call tells others
		h.die(func(i int) bool {
			e := h.nodes[i].Endpoints.Find("e")
			return i == who || e != nil && e.State != endpoints.StateReady
		})
		again = true
	}
	within := leaveWithin
	if again {
		within += leaveBeat
	}
	for h.now < acked+within {
		if again && h.now >= acked+leaveBeat {
			calls++
			if err, ok := h.answers[call(draw(leaveNodes), calls, endpoints.StateDraining)]; !ok || err == nil {
				again = false
			}
		}
		h.step()
	}
	if again {
		return ""
	}

	for i, n := range h.nodes[leaveKeepers:] { // keepers send no work
		if e := n.Endpoints.Find("e"); e != nil && e.State == endpoints.StateReady {
			return fmt.Sprintf("process %d still sends it work %v after it was acknowledged by %d", i+leaveKeepers, within, who)
		}
	}
	return ""
}

// leaving plays so many lives of engines that leave, and returns the first fault with its seed.
func leaving(lives int, hasty bool) (found string, seed int) {
	for seed := range lives {
		if says := leave(draws(seed), hasty); says != "" {
			return says, seed
		}
	}
	return "", lives
}
