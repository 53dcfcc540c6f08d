package plane

import (
	"errors"
	"time"

	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/rpc"
)

// errNoAnswer is the outcome of a call without an answer.
var errNoAnswer = errors.New("no answer")

// linkDelay returns the delay of a message between two machines, or false if the link is blocked.
func (w *world) linkDelay(from, to *machine) (time.Duration, bool) {
	if w.blockedLinks[[2]int{from.index, to.index}] > 0 {
		return 0, false
	}
	d := 500 * time.Microsecond
	if from.zone != to.zone {
		d = time.Millisecond
	}
	return d + time.Duration(w.rand.Int64N(int64(300*time.Microsecond))), true
}

// transferTime returns how long the bytes of a call occupy a link.
func (w *world) transferTime(bytes int) time.Duration {
	if w.scenario.LinkBytesPerSecond == 0 {
		return 0
	}
	return time.Duration(bytes) * time.Second / time.Duration(w.scenario.LinkBytesPerSecond)
}

// sendDatagram sends a datagram, which may be lost.
func (w *world) sendDatagram(from, to *machine, b []byte) {
	w.recordDatagram(from, to, b)
	if to == nil || w.rand.Float64() < w.lossRate {
		return
	}
	if d, ok := w.linkDelay(from, to); ok {
		incarnation := to.incarnation
		w.schedule(d, func() {
			if to.incarnation == incarnation {
				to.deliver(discovery.Gossip{Event: gossip.PacketReceived{Payload: b}})
			}
		})
	}
}

// sendCall sends a call. It fails if there is no answer within its timeout.
func (w *world) sendCall(m *machine, c replica.SendCall, then func(body []byte, err error)) {
	to, done := w.machineAt(c.To), false
	reply := func(body []byte, err error) {
		if !done {
			done = true
			then(body, err)
		}
	}
	w.schedule(c.Timeout, func() { reply(nil, errNoAnswer) })
	w.recordCall(m, to, c.Kind, len(c.Body))
	if to == nil || w.injectedBug == "rejects joins" && c.Kind == rpc.KindJoin {
		return
	}
	d, ok := w.linkDelay(m, to)
	if !ok {
		return
	}
	d += w.transferTime(len(c.Body))
	incarnation := to.incarnation
	w.schedule(d, func() {
		if to.incarnation != incarnation || !to.up {
			w.schedule(d, func() { reply(nil, errNoAnswer) })
			return
		}
		id := to.calls.Add(caller{m, c.Kind, reply})
		to.deliver(replica.CallReceived{Kind: c.Kind, Body: c.Body, From: addrOf(m.index).Addr(), Request: id})
	})
}

// sendReply sends the answer of a call.
func (w *world) sendReply(m *machine, r replica.SendReply) {
	f, ok := m.calls.Take(r.Request)
	if !ok {
		return
	}
	w.recordCall(f.machine, nil, f.kind, len(r.Body)-frameHeaderBytes) // counted as traffic of the caller, whose call already counts a frame header
	if d, ok := w.linkDelay(m, f.machine); ok {
		w.schedule(d+w.transferTime(len(r.Body)), func() { f.reply(r.Body, r.Err) })
	}
}
