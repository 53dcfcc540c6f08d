package singleton

import (
	"slices"
	"time"

	"notchhinge/internal/limits"
)

// Meter is a router's part: it counts which requests began, by tenant and window, and makes the reports of that. It is not
// safe for concurrent use.
type Meter struct {
	Length time.Duration // of a window
	Source uint64        // this life
	Zone   string

	tally Tally
	told  map[uint64]*Told // by keeper
}

// Began counts a request.
func (m *Meter) Began(wall time.Time, tenant string) { m.tally.Add(Window(wall, m.Length), tenant, 1) }

// Reports makes one for each keeper, of what it has not said that it has. A keeper that is not among them is forgotten.
func (m *Meter) Reports(wall time.Time, loads []Load, keepers []uint64) []Report {
	before := Window(wall.Add(-limits.NodeUsageKept), m.Length)
	m.tally.Forget(before)
	if m.told == nil {
		m.told = map[uint64]*Told{}
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
			told = &Told{}
			m.told[id] = told
		}
		told.Forget(before)
		all[i] = Report{Source: m.Source, Zone: m.Zone, Tally: told.Rest(&m.tally), Loads: loads}
	}
	return all
}

// Heard takes a keeper's answer to a report in.
func (m *Meter) Heard(id uint64, a Word, sent *Report) {
	if told := m.told[id]; told != nil {
		told.Heard(a, &sent.Tally)
	}
}
