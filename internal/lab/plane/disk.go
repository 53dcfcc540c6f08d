package plane

import (
	"maps"
	"slices"
	"time"

	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/endpoints"
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

	endpoints map[string]endpoints.Record // draining and deregistered endpoints, by id
}

// endpointRecords returns the stored records of endpoints, ordered by id.
func (d *disk) endpointRecords() (records []endpoints.Record) {
	for _, id := range slices.Sorted(maps.Keys(d.endpoints)) {
		records = append(records, d.endpoints[id])
	}
	return records
}

// storeEndpoints stores records of endpoints after the latency of the disk, and reports the outcome to the process.
func (m *machine) storeEndpoints(e discovery.StoreRecords) {
	incarnation := m.incarnation
	done := discovery.RecordsStored{Request: e}
	var write func()
	write = func() {
		switch {
		case m.incarnation != incarnation:
			return
		case m.diskStalledUntil > m.world.now:
			m.world.schedule(min(m.diskStalledUntil-m.world.now, 100*time.Millisecond), write)
			return
		case m.world.injectedBug == "drains are kept in memory only":
			done.Stored = true
		case !m.diskFull:
			for _, r := range e.Records {
				m.disk.endpoints[r.ID] = r
			}
			done.Stored = true
		}
		m.deliver(done)
	}
	m.world.schedule(m.writeTime(), write)
}

// writeTime returns how long a write takes while the disk is not stalled.
func (m *machine) writeTime() time.Duration {
	return m.world.diskLatency + min(m.diskDelay, slowDiskFactor*m.world.diskLatency)
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
