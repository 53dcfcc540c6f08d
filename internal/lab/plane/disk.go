package plane

import (
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
)

// disk is what a keeper's disk holds for good.
type disk struct {
	id      uint64 // 0 = it is empty
	founder bool
	vote    paxos.AcceptorState
	state   replog.State
	places  map[uint64][]byte
}

// write writes to the disk, if it takes anything. After it has refused something it is told all that stands here first, as a
// keeper of the program does.
func (m *machine) write(f *replica.Write) bool {
	if m.full {
		m.shut = true
		return false
	}
	if m.shut {
		m.shut = false
		state := m.core.State()
		m.disk.keep(&replica.Write{Snapshot: true, State: &state}, m.w)
		m.disk.keep(&replica.Write{Acceptor: m.core.AcceptorState()}, m.w)
	}
	m.disk.keep(f, m.w)
	return true
}

// keep makes a write durable.
func (d *disk) keep(f *replica.Write, w *world) {
	switch {
	case f.Snapshot:
		d.state = *f.State
		clear(d.places)
	case f.Value != nil:
		d.state = *f.State
		d.places[f.State.NextIndex-1] = f.Value
		delete(d.places, f.State.NextIndex-33)
	case w.broken != "forgets its votes":
		d.vote = f.Acceptor
	}
}

// later has something done once a write that nobody waits for reaches the disk, if its process lives for so long.
func (w *world) later(m *machine, do func()) {
	life := m.life
	w.in(w.sync, func() {
		if m.life == life {
			do()
		}
	})
}
