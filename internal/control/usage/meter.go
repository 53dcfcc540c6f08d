package usage

import (
	"slices"
	"time"

	"notchhinge/internal/limits"
)

// Meter counts the requests of a router by tenant and window, and creates reports for the voters.
type Meter struct {
	WindowLength time.Duration
	Incarnation  uint64 // of the router
	Zone         string

	counters Counters
	acked    map[uint64]*ackedCounters // by the ID of the voter
}

// CountRequest counts a request of a tenant that starts at the given time of day.
func (m *Meter) CountRequest(wall time.Time, tenant string) {
	m.counters.Add(WindowAt(wall, m.WindowLength), tenant, 1)
}

// Reports returns one report per voter, in the order of voters, with the counters that the voter has not acknowledged. It drops
// windows older than limits.UsageRetention and the acknowledgements of voters that are not listed.
func (m *Meter) Reports(wall time.Time, loads []Load, voters []uint64) []Report {
	oldest := WindowAt(wall.Add(-limits.UsageRetention), m.WindowLength)
	m.counters.DropBefore(oldest)
	if m.acked == nil {
		m.acked = map[uint64]*ackedCounters{}
	}
	for id := range m.acked {
		if !slices.Contains(voters, id) {
			delete(m.acked, id)
		}
	}
	reports := make([]Report, len(voters))
	for i, id := range voters {
		acked := m.acked[id]
		if acked == nil {
			acked = &ackedCounters{}
			m.acked[id] = acked
		}
		acked.counters.DropBefore(oldest)
		reports[i] = Report{Incarnation: m.Incarnation, Zone: m.Zone, Counters: acked.missing(&m.counters), Loads: loads}
	}
	return reports
}

// HandleAck records a voter's acknowledgement of the report sent. It ignores a voter that was not listed in the last call of Reports.
func (m *Meter) HandleAck(voter uint64, ack Ack, sent *Report) {
	if acked := m.acked[voter]; acked != nil {
		acked.record(ack, &sent.Counters)
	}
}

// ackedCounters are the counters of this router that a voter has acknowledged. Reports contain only counters that exceed them, which
// limits the size of a report. They are reset when the voter has a new table.
type ackedCounters struct {
	tableID  uint64
	counters Counters
}

// missing returns the counters in all that exceed the acknowledged ones.
func (c *ackedCounters) missing(all *Counters) Counters {
	missing := Counters{}
	for number, tenants := range all.Windows {
		for tenant, requests := range tenants {
			if requests > c.counters.Windows[number][tenant] {
				missing.Add(number, tenant, requests)
			}
		}
	}
	return missing
}

// record records the acknowledgement of a report with the counters sent.
func (c *ackedCounters) record(ack Ack, sent *Counters) {
	if ack.TableID != c.tableID {
		c.tableID, c.counters = ack.TableID, Counters{}
	}
	c.counters.Merge(sent)
}
