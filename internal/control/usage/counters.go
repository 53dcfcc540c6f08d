package usage

import (
	"cmp"
	"maps"
	"slices"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/replog"
)

// Bounds of encoded counters.
const (
	maxEncodedWindows = 16
	maxTenants        = 1 << 16 // as many as an entry of package replog holds
	maxNameBytes      = 256
)

// Counters are numbers of requests by window and tenant. Those of a router only grow, until old windows are dropped. The zero
// value is empty.
type Counters struct {
	Windows map[uint64]map[string]uint64
}

// Add counts requests of a tenant.
func (c *Counters) Add(window uint64, tenant string, requests uint64) {
	c.window(window)[tenant] += requests
}

// Merge raises each counter to the value that it has in other.
func (c *Counters) Merge(other *Counters) {
	for number, tenants := range other.Windows {
		mine := c.window(number)
		for tenant, requests := range tenants {
			mine[tenant] = max(mine[tenant], requests)
		}
	}
}

// window returns the counters of a window, which are created if there are none.
func (c *Counters) window(number uint64) map[string]uint64 {
	if c.Windows == nil {
		c.Windows = map[uint64]map[string]uint64{}
	}
	tenants := c.Windows[number]
	if tenants == nil {
		tenants = map[string]uint64{}
		c.Windows[number] = tenants
	}
	return tenants
}

// DropBefore drops the windows before a number.
func (c *Counters) DropBefore(window uint64) {
	maps.DeleteFunc(c.Windows, func(number uint64, _ map[string]uint64) bool { return number < window })
}

// Encode appends the newest 16 windows.
func (c *Counters) Encode(w *encoding.Writer) {
	numbers := make([]uint64, 0, len(c.Windows))
	for number := range c.Windows {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	numbers = numbers[max(len(numbers)-maxEncodedWindows, 0):]
	w.Uvarint(uint64(len(numbers)))
	for _, number := range numbers {
		w.Uvarint(number)
		counts := SortedCounts(c.Windows[number])
		w.Uvarint(uint64(len(counts)))
		for _, count := range counts {
			w.String(count.Tenant)
			w.Uvarint(count.Requests)
		}
	}
}

// DecodeCounters reads what Encode has written.
func DecodeCounters(r *encoding.Reader) Counters {
	c := Counters{Windows: map[uint64]map[string]uint64{}}
	for range r.Length(maxEncodedWindows, 2) {
		tenants := map[string]uint64{}
		c.Windows[r.Uvarint()] = tenants
		for range r.Length(maxTenants, 2) {
			tenant := r.String(maxNameBytes)
			tenants[tenant] = r.Uvarint()
		}
	}
	return c
}

// SortedCounts lists the counts of one window, sorted by tenant.
func SortedCounts(tenants map[string]uint64) []replog.TenantCount {
	all := make([]replog.TenantCount, 0, len(tenants))
	for tenant, requests := range tenants {
		all = append(all, replog.TenantCount{Tenant: tenant, Requests: requests})
	}
	slices.SortFunc(all, func(x, y replog.TenantCount) int { return cmp.Compare(x.Tenant, y.Tenant) })
	return all
}
