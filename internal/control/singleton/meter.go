package singleton

import (
	"slices"
	"time"

	"notchhinge/internal/limits"
)

// Meter is a router's part: it counts which requests began, by tenant and window, and makes the reports of that. It is not
// safe for concurrent use.
type Meter struct {
	WindowLength time.Duration // of a window
	Incarnation  uint64        // this life
	Zone         string

	tally Counters
	told  map[uint64]*ackedCounters // by keeper
}

// CountRequest counts a request.
func (m *Meter) CountRequest(wall time.Time, tenant string) {
	m.tally.Add(WindowAt(wall, m.WindowLength), tenant, 1)
}

// Reports makes one for each keeper, of what it has not said that it has. A keeper that is not among them is forgotten.
func (m *Meter) Reports(wall time.Time, loads []Load, keepers []uint64) []Report {
	before := WindowAt(wall.Add(-limits.UsageRetention), m.WindowLength)
	m.tally.DropBefore(before)
	if m.told == nil {
		m.told = map[uint64]*ackedCounters{}
	}
	for id := range m.told {
		if !slices.Contains(keepers, id) {
			delete(m.told, id)
		}
	}
	all := make([]Report, len(keepers))
	for i, id := range keepers {
		told := m.told[id]
		if told == nil {
			told = &ackedCounters{}
			m.told[id] = told
		}
		told.Forget(before)
		all[i] = Report{Incarnation: m.Incarnation, Zone: m.Zone, Counters: told.Rest(&m.tally), Loads: loads}
	}
	return all
}

// HandleAck takes a keeper's answer to a report in.
func (m *Meter) HandleAck(id uint64, a Ack, sent *Report) {
	if told := m.told[id]; told != nil {
		told.Heard(a, &sent.Counters)
	}
}
