package operatorconfig

import (
	"net"
	"path"
	"strconv"

	"notchhinge/internal/config/tomlfile"
	"notchhinge/internal/route"
)

// roundingError is the amount by which a sum of guarantees such as 0.1 + 0.2 + 0.7 may exceed 1.
const roundingError = 1e-9

func (v *validator) pools() {
	names, guarantees := map[string]bool{}, 0.0
	for i := range v.f.Pools {
		p := &v.f.Pools[i]
		if names[p.Name] {
			v.addf(entryKey("pool", i, "name"), "another pool has the name %q", p.Name)
		}
		names[p.Name] = true
		if p.DiscoveryAddr != "" {
			if _, _, err := net.SplitHostPort(p.DiscoveryAddr); err != nil {
				v.addf(entryKey("pool", i, "discovery"), "%q is not an address with a port", p.DiscoveryAddr)
			}
		}
		if p.Select != nil {
			for _, pattern := range p.Select.NamePatterns {
				if _, err := path.Match(pattern, ""); err != nil {
					v.addf(entryKey("pool", i, "select", "names"), "%q is not a valid pattern; a pattern may contain *, ? and ranges such as [a-z]", pattern)
				}
			}
		}
		if l := p.Limits; l != nil {
			guarantees += valueOr(l.Guarantee, 0)
			if valueOr(l.Guarantee, 0) > valueOr(l.MaxShare, 1) {
				v.addf(entryKey("pool", i, "limits", "guarantee"), "%v is greater than the maximum share, %v", *l.Guarantee, valueOr(l.MaxShare, 1))
			}
			v.positive(l.RetryAfter, entryKey("pool", i, "limits", "retry_after")...)
		}
		v.poolClasses(i, p.Classes)
	}
	if guarantees > 1+roundingError {
		v.addf([]string{"pool", "0"}, "the guarantees of all pools add up to %.3g; the sum must be at most 1", guarantees)
	}
}

func (v *validator) poolClasses(pool int, classes []PoolClass) {
	names := map[string]bool{}
	for j := range classes {
		c := &classes[j]
		key := func(k string) []string { return entryKey("pool", pool, "class", strconv.Itoa(j), k) }
		if names[c.Name] {
			v.addf(key("name"), "class %q is listed twice", c.Name)
		}
		names[c.Name] = true
		v.notNegative(c.TargetLatency, key("aim"))
		v.notNegative(c.TargetLatencyPerKTokens, key("aim_per_1000_tokens"))
		v.positive(c.Deadline, key("deadline")...)
	}
}

// notNegative rejects a duration that is present and less than 0.
func (v *validator) notNegative(d *tomlfile.Duration, key []string) {
	if d != nil && *d < 0 {
		v.addf(key, "must be 0 or more")
	}
}

// services checks the routes, and that each service has a pool and each pool a service.
func (v *validator) services() {
	if len(v.f.Services) == 0 {
		if len(v.f.Pools) > 0 {
			v.addf([]string{"pool", "0"}, "at least one [[service]] must use the pools")
		}
		return
	}
	used := map[string]bool{}
	for i := range v.f.Services {
		s := &v.f.Services[i]
		switch {
		case s.Pool != "" && len(s.Split) > 0:
			v.addf(entryKey("service", i, "split"), "a service has a pool or a split, not both")
		case s.Pool == "" && len(s.Split) == 0:
			v.addf(entryKey("service", i), "must have a pool or a split")
		}
		used[s.Pool] = true
		for _, p := range s.Split {
			used[p.Pool] = true
		}
	}
	ids := map[string]int{}
	for i := range v.f.Pools {
		name := v.f.Pools[i].Name
		if !used[name] {
			v.addf(entryKey("pool", i, "name"), "no service uses pool %q", name)
		}
		ids[name] = i
	}
	_, errs := v.f.Table(func(name string) (int, bool) { id, ok := ids[name]; return id, ok })
	for _, e := range errs {
		v.addf(v.f.routeErrorKey(&e), "%s", e.Message)
	}
}

// routeErrorKey returns the key of the file to which an error of package route refers.
func (f *File) routeErrorKey(e *route.TableError) []string {
	switch {
	case e.RouteIndex >= 0 && e.Field != "":
		return append(f.routeKey(e.RouteIndex), e.Field)
	case e.RouteIndex >= 0:
		return f.routeKey(e.RouteIndex)
	case e.ServiceIndex >= 0 && e.Field == "split" && f.Services[e.ServiceIndex].Pool != "":
		return entryKey("service", e.ServiceIndex, "pool")
	case e.ServiceIndex >= 0:
		return entryKey("service", e.ServiceIndex, e.Field)
	}
	return []string{"service", "0"}
}
