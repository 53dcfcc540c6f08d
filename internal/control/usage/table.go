package usage

import (
	"maps"
	"slices"
	"time"

	"notchhinge/internal/control/encoding"
)

// Limits of a table.
const (
	maxRouters        = 4096
	maxRouterWindows  = 64      // per router incarnation; limits the memory that invalid reports can use
	maxReportBytes    = 3 << 20 // three windows of 65,536 tenants with names of 13 bytes
	maxServices       = 4096
	loadLifetime      = 3 * time.Second // loads expire this long after the last report of a router
	idleRouterTimeout = time.Minute     // a router without counters is removed this long after its last report
)

// Table holds the counters of each router incarnation and the loads of its last report, as known to one replica. Tables can be
// merged in any order with the same result. The zero value is empty.
type Table struct {
	routers map[uint64]*router // by incarnation
}

// router is one incarnation of a router.
type router struct {
	zone       string
	counters   Counters
	loads      []Load
	reportedAt time.Duration // steady clock; 0 = known only from another replica's table
}

// Record merges a report that a router sent to this replica. It ignores new incarnations once the table has 4096.
func (t *Table) Record(now time.Duration, report *Report) {
	if r := t.merge(report); r != nil {
		r.reportedAt, r.loads = now, report.Loads
	}
}

// merge merges the counters of a report and returns the router, or nil if the table is full.
func (t *Table) merge(report *Report) *router {
	if t.routers == nil {
		t.routers = map[uint64]*router{}
	}
	r := t.routers[report.Incarnation]
	if r == nil {
		if len(t.routers) >= maxRouters {
			return nil
		}
		r = &router{zone: report.Zone}
		t.routers[report.Incarnation] = r
	}
	r.counters.Merge(&report.Counters)
	for len(r.counters.Windows) > maxRouterWindows {
		delete(r.counters.Windows, slices.Min(slices.Collect(maps.Keys(r.counters.Windows))))
	}
	return r
}

// Sum returns the counts of a window by tenant, summed over all routers.
func (t *Table) Sum(window uint64) map[string]uint64 {
	sum := map[string]uint64{}
	for _, r := range t.routers {
		for tenant, requests := range r.counters.Windows[window] {
			sum[tenant] += requests
		}
	}
	return sum
}

// DropBefore drops all windows with a lower number than window, and routers without windows that have not reported for a minute.
func (t *Table) DropBefore(now time.Duration, window uint64) {
	for id, r := range t.routers {
		r.counters.DropBefore(window)
		if len(r.counters.Windows) == 0 && now-r.reportedAt > idleRouterTimeout {
			delete(t.routers, id)
		}
	}
}

// Loads returns the loads by service, summed over all routers that have reported within the last 3 s.
func (t *Table) Loads(now time.Duration) map[string]Load {
	sum := map[string]Load{}
	for _, r := range t.routers {
		if now-r.reportedAt > loadLifetime {
			continue
		}
		for _, l := range r.loads {
			x := sum[l.Service]
			sum[l.Service] = Load{l.Service, x.Running + l.Running, x.Arrived + l.Arrived, x.Late + l.Late}
		}
	}
	return sum
}

// LiveRouters returns the number of router incarnations that have reported within the given duration.
func (t *Table) LiveRouters(now, within time.Duration) int {
	live := 0
	for _, r := range t.routers {
		if now-r.reportedAt <= within {
			live++
		}
	}
	return live
}

// Encode returns the encoded counters of the windows in [from, to). The lease holder passes them to Merge.
func (t *Table) Encode(from, to uint64) []byte {
	selected := map[uint64]Counters{}
	for id, r := range t.routers {
		windows := map[uint64]map[string]uint64{}
		for number, tenants := range r.counters.Windows {
			if number >= from && number < to && len(tenants) > 0 {
				windows[number] = tenants
			}
		}
		if len(windows) > 0 {
			selected[id] = Counters{Windows: windows}
		}
	}
	w := encoding.Writer{}
	w.Uvarint(uint64(len(selected)))
	for _, id := range slices.Sorted(maps.Keys(selected)) {
		report := Report{Incarnation: id, Zone: t.routers[id].zone, Counters: selected[id]}
		w.Bytes(report.Encode())
	}
	return w.Buf
}

// Merge merges the encoded table of another replica. If it returns an error, the routers before the invalid one are merged.
func (t *Table) Merge(encoded []byte) error {
	r := encoding.Reader{Buf: encoded}
	for range r.Length(maxRouters, 1) {
		report, err := DecodeReport(r.Bytes(maxReportBytes))
		if err != nil {
			return err
		}
		t.merge(report)
	}
	return r.Finish()
}
