package usage

import (
	"cmp"
	"maps"
	"slices"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/replog"
)

// Limits of encoded counters.
const (
	maxEncodedWindows = 16
	maxTenants        = 1 << 16 // maximum of a usage report in package replog
	maxNameBytes      = 256
)

// Counters are numbers of requests by window and tenant. The counters of a router only grow, until their window is dropped. The zero
// value is empty.
type Counters struct {
	Windows map[uint64]map[string]uint64
}

// Add adds requests to the counter of a tenant in a window.
func (c *Counters) Add(window uint64, tenant string, requests uint64) {
	c.window(window)[tenant] += requests
}

// Merge sets each counter to the maximum of its value and the value in other.
func (c *Counters) Merge(other *Counters) {
	for number, tenants := range other.Windows {
		own := c.window(number)
		for tenant, requests := range tenants {
			own[tenant] = max(own[tenant], requests)
		}
	}
}

// window returns the counters of a window, and creates them if necessary.
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

// DropBefore drops all windows with a lower number than window.
func (c *Counters) DropBefore(window uint64) {
	maps.DeleteFunc(c.Windows, func(number uint64, _ map[string]uint64) bool { return number < window })
}

// Encode writes the newest 16 windows to w.
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

// DecodeCounters decodes counters that were written by Encode.
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

// SortedCounts returns the counts of one window, sorted by tenant.
func SortedCounts(tenants map[string]uint64) []replog.TenantCount {
	all := make([]replog.TenantCount, 0, len(tenants))
	for tenant, requests := range tenants {
		all = append(all, replog.TenantCount{Tenant: tenant, Requests: requests})
	}
	slices.SortFunc(all, func(x, y replog.TenantCount) int { return cmp.Compare(x.Tenant, y.Tenant) })
	return all
}
