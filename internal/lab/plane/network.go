package plane

import (
	"errors"
	"time"

	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/rpc"
)

// errGone is the outcome of a call without an answer.
var errGone = errors.New("no answer")

// link tells whether words from one machine reach another, and how long they take.
func (w *world) link(from, to *machine) (time.Duration, bool) {
	if w.cuts[[2]int{from.i, to.i}] > 0 {
		return 0, false
	}
	d := 500 * time.Microsecond
	if from.zone != to.zone {
		d = time.Millisecond
	}
	return d + time.Duration(w.rnd.Int64N(int64(300*time.Microsecond))), true
}

// transfer is how long the bytes of a call occupy a link.
func (w *world) transfer(bytes int) time.Duration {
	if w.day.LinkBytesPerSecond == 0 {
		return 0
	}
	return time.Duration(bytes) * time.Second / time.Duration(w.day.LinkBytesPerSecond)
}

// datagram sends one, which may get lost.
func (w *world) datagram(from, to *machine, b []byte) {
	w.spendDatagram(from, to, b)
	if to == nil || w.rnd.Float64() < w.loss {
		return
	}
	if d, ok := w.link(from, to); ok {
		life := to.life
		w.in(d, func() {
			if to.life == life {
				to.take(discovery.Gossip{Event: gossip.PacketReceived{Payload: b}})
			}
		})
	}
}

// call carries a call, whose answer comes back or does not in its time.
func (w *world) call(m *machine, c replica.SendCall, then func(body []byte, err error)) {
	to, over := w.at(c.To), false
	back := func(body []byte, err error) {
		if !over {
			over = true
			then(body, err)
		}
	}
	w.in(c.Timeout, func() { back(nil, errGone) })
	w.spendCall(m, to, c.Kind, len(c.Body))
	if to == nil || w.broken == "takes nobody in" && c.Kind == rpc.KindJoin {
		return
	}
	d, ok := w.link(m, to)
	if !ok {
		return
	}
	d += w.transfer(len(c.Body))
	there := to.life
	w.in(d, func() {
		if to.life != there || !to.up {
			w.in(d, func() { back(nil, errGone) })
			return
		}
		id := to.calls.Add(from{m, c.Kind, back})
		to.take(replica.CallReceived{Kind: c.Kind, Body: c.Body, From: addrOf(m.i).Addr(), Request: id})
	})
}

// back carries an answer.
func (w *world) back(m *machine, r replica.SendReply) {
	f, ok := m.calls.Take(r.Request)
	if !ok {
		return
	}
	w.spendCall(f.m, nil, f.kind, len(r.Body)-frameBytes) // it is its caller's
	if d, ok := w.link(m, f.m); ok {
		w.in(d+w.transfer(len(r.Body)), func() { f.back(r.Body, r.Err) })
	}
}
