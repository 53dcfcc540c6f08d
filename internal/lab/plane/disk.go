package plane

import (
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
)

// disk is the durable state of a replica.
type disk struct {
	id       uint64 // 0 = empty disk
	founder  bool
	acceptor paxos.AcceptorState
	state    replog.State
	values   map[uint64][]byte
}

// write applies a write and reports whether the disk accepted it. After a refused write the whole state is written first, as
// the program does.
func (m *machine) write(f *replica.Write) bool {
	if m.diskFull {
		m.diskStale = true
		return false
	}
	if m.diskStale {
		m.diskStale = false
		state := m.replica.State()
		m.disk.persist(&replica.Write{Snapshot: true, State: &state}, m.world)
		m.disk.persist(&replica.Write{Acceptor: m.replica.AcceptorState()}, m.world)
	}
	m.disk.persist(f, m.world)
	return true
}

// persist makes a write durable.
func (d *disk) persist(f *replica.Write, w *world) {
	switch {
	case f.Snapshot:
		d.state = *f.State
		clear(d.values)
	case f.Value != nil:
		d.state = *f.State
		d.values[f.State.NextIndex-1] = f.Value
		delete(d.values, f.State.NextIndex-33)
	case w.injectedBug != "acceptor state is not persisted":
		d.acceptor = f.Acceptor
	}
}

// afterSync calls do after the latency of the disk, if the same process still runs then.
func (w *world) afterSync(m *machine, do func()) {
	incarnation := m.incarnation
	w.schedule(w.diskLatency, func() {
		if m.incarnation == incarnation {
			do()
		}
	})
}
