// Package reconcile says what a file of settings comes to: which pools there are with which modules, lists and parts of the
// process, and which requests go to which of them. It owns what stays and what goes from one plan to the next, and opens
// nothing; the router has a plan carried out.
package reconcile

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"notchhinge/internal/config"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/listwatch"
	"notchhinge/internal/quota"
	"notchhinge/internal/service"
	"notchhinge/internal/settings"
	"notchhinge/policy"
)

// Plan is what a process serves. It does not change.
type Plan struct {
	Directory *service.Directory
	Pools     []Pool // in the order of the file
	next      hoststate.PoolID
}

// Pool is one pool of a plan.
type Pool struct {
	ID            hoststate.PoolID
	Name          string // "" = the platform's, without a file
	DiscoveryAddr string
	Selection     listwatch.Selection
	Module        config.Module
	Seed          uint64

	RequestQuota, UpstreamConnQuota, BodyQuota, ClientConnQuota quota.Claim
	TurnWeight                                                  float64       // of the loop, against other pools
	MaxAttempts                                                 int           // 0 = as the settings allow
	RetryAfter                                                  time.Duration // with what there is no room for

	made string // of what the module was made
}

// NewPlan makes the plan of a configuration and of the operator's file, which may be nil. running is the plan that it is to
// follow, or nil at the start. The error is settings.Faults, every one of them.
func NewPlan(cfg *config.Config, f *settings.File, running *Plan) (*Plan, error) {
	p := &Plan{}
	if running != nil {
		p.next = running.next
	}
	if f == nil || len(f.Services) == 0 {
		p.plain(cfg, running)
		return p, nil
	}
	faults := p.pools(cfg, f, running)
	if len(faults) == 0 {
		numbers := map[string]int{}
		var views []*service.Pool
		for i := range p.Pools {
			q := &p.Pools[i]
			numbers[q.Name] = int(q.ID)
			views = append(views, q.view())
		}
		table, bad := f.Table(func(name string) (int, bool) { n, ok := numbers[name]; return n, ok })
		if len(bad) > 0 { // the file was checked for these
			return nil, fmt.Errorf("routes: %w", bad[0])
		}
		p.Directory = service.New(table, true, views...)
		faults = p.contracts(f)
	}
	if feeds := p.EndpointSources(); len(feeds) > cfg.Limits.EndpointSources && running != nil {
		faults = append(faults, f.Fault([]string{"pool", "0"}, "%d discoveries; there is room for %d until the next start", len(feeds),
			cfg.Limits.EndpointSources))
	}
	if len(faults) > 0 {
		return nil, faults.Sorted()
	}
	return p, nil
}

// plain is the platform's case: one pool with the platform's own settings. Its module stays whatever the settings say
// later, as the platform has it.
func (p *Plan) plain(cfg *config.Config, running *Plan) {
	q := Pool{DiscoveryAddr: cfg.Discovery, Module: cfg.Module, Seed: cfg.Seed, RetryAfter: cfg.Limits.OverloadRetryAfter}
	if old := running.named(""); old != nil {
		q.ID, q.Module, q.Seed = old.ID, old.Module, old.Seed
	} else {
		q.ID = p.take()
	}
	p.Pools = []Pool{q}
	view := q.view()
	view.MaxBudget = cfg.Limits.MaxRequestTimeout
	p.Directory = service.Plain(view)
}

func (p *Plan) take() hoststate.PoolID {
	id := p.next
	p.next++
	return id
}

// named finds a pool by its name.
func (p *Plan) named(name string) *Pool {
	if p == nil {
		return nil
	}
	if i := slices.IndexFunc(p.Pools, func(q Pool) bool { return q.Name == name }); i >= 0 {
		return &p.Pools[i]
	}
	return nil
}

// pools makes the pools of a file.
func (p *Plan) pools(cfg *config.Config, f *settings.File, running *Plan) (faults settings.Faults) {
	guarantees := guarantees(f.Pools)
	followed := map[hoststate.PoolID]bool{}
	for i, s := range f.Pools {
		at := []string{"pool", strconv.Itoa(i)}
		q := Pool{Name: s.Name, DiscoveryAddr: cfg.Discovery, Module: cfg.Module, Seed: cfg.Seed}
		if s.Discovery != "" {
			q.DiscoveryAddr = s.Discovery
		}
		if s.Select != nil {
			q.Selection = listwatch.Selection{
				Zones: s.Select.Sites, Cells: s.Select.Blocks, Classes: s.Select.Classes, Names: s.Select.Names,
			}
		}
		if s.Settings != "" {
			m, err := config.LoadModule(s.Settings, cfg.Seed)
			if err != nil {
				faults = append(faults, f.Fault(append(at, "settings"), "%v", err))
				continue
			}
			q.Module = m
		}
		if bad := classes(&q.Module, s.Classes, func(j int, says string) settings.Fault {
			return f.Fault(append(slices.Clone(at), "class", strconv.Itoa(j), "name"), "%s", says)
		}); len(bad) > 0 {
			faults = append(faults, bad...)
			continue
		}
		if _, err := policy.New(q.Module.Settings, q.Seed); err != nil { // with what its classes have otherwise
			faults = append(faults, f.Fault(at, "%v", err))
			continue
		}
		q.limit(&cfg.Limits, s.Limits, guarantees[i])
		made, err := json.Marshal(q.Module)
		if err != nil {
			faults = append(faults, f.Fault(append(at, "settings"), "%v", err))
			continue
		}
		q.made = string(made)
		q.ID = -1
		for _, name := range []string{s.Name, s.Was} {
			// A module keeps to the settings that it was made with: with others it is another one.
			if old := running.named(name); old != nil && name != "" && old.made == q.made && !followed[old.ID] {
				q.ID = old.ID
				break
			}
		}
		if q.ID < 0 {
			q.ID = p.take()
		}
		followed[q.ID] = true
		p.Pools = append(p.Pools, q)
	}
	return faults
}

// classes keeps a module's classes to those that a pool names, and changes in them what the pool has otherwise.
func classes(m *config.Module, some []settings.PoolClass, fault func(int, string) settings.Fault) (faults settings.Faults) {
	if len(some) == 0 {
		return nil
	}
	all, aims := m.Settings.Classes, m.TokenAims
	m.Settings.Classes, m.TokenAims = nil, nil
	for j, s := range some {
		var names []string
		found := false
		for i, c := range all {
			names = append(names, c.Name)
			if c.Name != s.Name {
				continue
			}
			found = true
			set(&c.Value, s.Worth)
			set(&c.LateValue, s.LateWorth)
			set(&c.TargetLatency, (*time.Duration)(s.Aim))
			set(&c.TargetLatencyPerKTokens, (*time.Duration)(s.AimPerKTokens))
			set(&c.Deadline, (*time.Duration)(s.Deadline))
			m.Settings.Classes = append(m.Settings.Classes, c)
			var aim time.Duration
			if i < len(aims) {
				aim = aims[i]
			}
			m.TokenAims = append(m.TokenAims, aim)
		}
		if !found {
			faults = append(faults, fault(j, fmt.Sprintf("class %q is not in the pool's settings; there are %q", s.Name, names)))
		}
	}
	return faults
}

func set[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// guarantees are the shares that pools have for themselves: those that are set, and for the others even parts of half
// of what these leave, so that half of it stays common.
func guarantees(pools []settings.Pool) []float64 {
	out := make([]float64, len(pools))
	left, without := 1.0, 0
	for i, p := range pools {
		if p.Limits != nil && p.Limits.Guarantee != nil {
			out[i] = *p.Limits.Guarantee
			left -= out[i]
		} else {
			without++
		}
	}
	for i, p := range pools {
		if p.Limits == nil || p.Limits.Guarantee == nil {
			out[i] = max(left, 0) / 2 / float64(without)
		}
	}
	return out
}

// limit sets a pool's parts of the process.
func (q *Pool) limit(l *limits.Limits, s *settings.PoolLimits, guarantee float64) {
	most := 1.0
	q.RetryAfter, q.TurnWeight = l.OverloadRetryAfter, max(guarantee, 0.01)
	if s == nil {
		s = &settings.PoolLimits{}
	}
	if s.Most != nil {
		most = *s.Most
	}
	if s.RetryAfter != nil {
		q.RetryAfter = time.Duration(*s.RetryAfter)
	}
	q.MaxAttempts = s.Legs
	part := func(total, bound int64) quota.Claim {
		c := quota.Claim{Guarantee: int64(guarantee * float64(total)), Max: max(int64(math.Ceil(most*float64(total))), 1)}
		if bound > 0 {
			c.Max = min(c.Max, bound)
		}
		c.Guarantee = min(c.Guarantee, c.Max)
		return c
	}
	q.RequestQuota = part(int64(l.ConcurrentRequests), int64(s.Open))
	q.UpstreamConnQuota = part(int64(l.UpstreamConns), int64(s.Lines))
	q.BodyQuota = part(l.TotalBodyBytes, int64(s.BodyMB)<<20)
	q.ClientConnQuota = part(int64(l.ClientConns), 0)
}

// view is a pool as the fronts see it.
func (q *Pool) view() *service.Pool {
	var longest time.Duration
	for _, c := range q.Module.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return &service.Pool{
		ID: q.ID, Name: q.Name, Classes: q.Module.Settings.Classes, RetryAfter: q.RetryAfter, MaxBudget: max(4*longest, time.Minute),
	}
}

// contracts says which contracts have classes whose lines nothing leads, or that a pool they may be led to does not know.
func (p *Plan) contracts(f *settings.File) (faults settings.Faults) {
	for i, k := range f.Contracts {
		for _, c := range k.Classes {
			fault := func(format string, args ...any) {
				faults = append(faults, f.Fault([]string{"contract", strconv.Itoa(i), "classes"}, format, args...))
			}
			to := p.Directory.Line(k.Service, c)
			if to == nil {
				fault("no route takes lines of class %q: POST %s%s, as no service is named", c, service.BatchHost, service.CallsPath)
				continue
			}
			for _, q := range p.Directory.Pools(to) {
				if _, known := q.Class(c); !known {
					fault("pool %q of service %q has no class %q", q.Name, to.Service, c)
				}
			}
		}
	}
	return faults
}

// EndpointSources lists the addresses that the plan's pools have their lists from.
func (p *Plan) EndpointSources() []string {
	var all []string
	for _, q := range p.Pools {
		if !slices.Contains(all, q.DiscoveryAddr) {
			all = append(all, q.DiscoveryAddr)
		}
	}
	return all
}

// Changes are what leads from one plan to the next.
type Changes struct {
	Added         []Pool
	Kept          []Pool
	SourceChanged []Pool // of Kept: with another list or another part of it
	Removed       []Pool // of the plan before
	Renamed       map[string]string
}

// ChangesFrom says what leads from another plan, or from none, to this one.
func (p *Plan) ChangesFrom(running *Plan) Changes {
	c := Changes{Renamed: map[string]string{}}
	old := map[hoststate.PoolID]*Pool{}
	if running != nil {
		for i := range running.Pools {
			old[running.Pools[i].ID] = &running.Pools[i]
		}
	}
	for _, q := range p.Pools {
		was := old[q.ID]
		if was == nil {
			c.Added = append(c.Added, q)
			continue
		}
		delete(old, q.ID)
		c.Kept = append(c.Kept, q)
		if was.Name != q.Name {
			c.Renamed[was.Name] = q.Name
		}
		if was.DiscoveryAddr != q.DiscoveryAddr || !was.Selection.Equal(&q.Selection) {
			c.SourceChanged = append(c.SourceChanged, q)
		}
	}
	if running != nil {
		for _, q := range running.Pools {
			if old[q.ID] != nil {
				c.Removed = append(c.Removed, q)
			}
		}
	}
	return c
}
