package usage

import (
	"slices"
	"time"

	"notchhinge/internal/limits"
)

// Meter counts the requests of a router by tenant and window, and creates reports for the replicas.
type Meter struct {
	WindowLength time.Duration
	Incarnation  uint64 // of the router
	Zone         string

	counters Counters
	acked    map[uint64]*ackedCounters // by the ID of the replica, as passed to Reports
}

// CountRequest counts a request of a tenant that starts at the given time of day.
func (m *Meter) CountRequest(wall time.Time, tenant string) {
	m.counters.Add(WindowAt(wall, m.WindowLength), tenant, 1)
}

// Reports returns one report per replica, in the order of replicas, with the counters that the replica has not acknowledged. It
// drops windows older than limits.UsageRetention and the acknowledgements of replicas that are not listed.
func (m *Meter) Reports(wall time.Time, loads []Load, replicas []uint64) []Report {
	oldest := WindowAt(wall.Add(-limits.UsageRetention), m.WindowLength)
	m.counters.DropBefore(oldest)
	if m.acked == nil {
		m.acked = map[uint64]*ackedCounters{}
	}
	for id := range m.acked {
		if !slices.Contains(replicas, id) {
			delete(m.acked, id)
		}
	}
	reports := make([]Report, len(replicas))
	for i, id := range replicas {
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

// HandleAck records a replica's acknowledgement of the report sent. It ignores a replica that was not listed in the last call of
// Reports.
func (m *Meter) HandleAck(replica uint64, ack Ack, sent *Report) {
	if acked := m.acked[replica]; acked != nil {
		acked.record(ack, &sent.Counters)
	}
}

// ackedCounters are the counters of this router that a replica has acknowledged. Reports contain only counters that exceed them,
// which limits the size of a report. They are reset when the replica has a new table.
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
