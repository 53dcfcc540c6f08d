package usage

import (
	"slices"
	"time"

	"notchhinge/internal/limits"
)

// Meter is a router's side: it counts requests by tenant and window, and makes reports of the counts.
type Meter struct {
	WindowLength time.Duration
	Incarnation  uint64 // of the router
	Zone         string

	counters Counters
	acked    map[uint64]*ackedCounters // by the voter's id
}

// CountRequest counts a request of a tenant that begins now.
func (m *Meter) CountRequest(wall time.Time, tenant string) {
	m.counters.Add(WindowAt(wall, m.WindowLength), tenant, 1)
}

// Reports returns a report for each of the voters, in their order, with what that voter has not acknowledged. It drops windows
// older than limits.UsageRetention, and what it knows of a voter that is not listed.
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

// HandleAck notes a voter's answer to a report. An answer of a voter that the last call of Reports did not list is ignored.
func (m *Meter) HandleAck(voter uint64, a Ack, sent *Report) {
	if acked := m.acked[voter]; acked != nil {
		acked.record(a, &sent.Counters)
	}
}

// ackedCounters are the counters of this router that a voter has acknowledged. A voter is sent only what exceeds them, so that a
// report does not grow with all that was counted, and everything again once its table is another.
type ackedCounters struct {
	tableID  uint64
	counters Counters
}

// missing returns the counters that exceed what was acknowledged.
func (k *ackedCounters) missing(all *Counters) Counters {
	missing := Counters{}
	for number, tenants := range all.Windows {
		for tenant, requests := range tenants {
			if requests > k.counters.Windows[number][tenant] {
				missing.Add(number, tenant, requests)
			}
		}
	}
	return missing
}

// record notes the answer to a report of the counters sent.
func (k *ackedCounters) record(a Ack, sent *Counters) {
	if a.TableID != k.tableID {
		k.tableID, k.counters = a.TableID, Counters{}
	}
	k.counters.Merge(sent)
}
