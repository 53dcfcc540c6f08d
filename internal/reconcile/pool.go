package reconcile

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"notchhinge/internal/config/operatorconfig"
	"notchhinge/internal/config/platformconfig"
	"notchhinge/internal/config/tomlfile"
	"notchhinge/internal/directory"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/listwatch"
	"notchhinge/internal/quota"
	"notchhinge/policy"
)

// Pool is a set of endpoints with its own decision module and quotas.
type Pool struct {
	ID            hoststate.PoolID
	Name          string                // "" = the platform's pool
	DiscoveryAddr string                // host and port of the endpoint list
	Selection     listwatch.Selection   // entries of the list that the pool uses
	Module        platformconfig.Module // settings of the decision module
	Seed          uint64                // of the decision module

	RequestQuota      quota.Claim // requests in flight
	UpstreamConnQuota quota.Claim // connections to endpoints
	BodyQuota         quota.Claim // bytes of request bodies in memory
	ClientConnQuota   quota.Claim // connections of clients

	TurnWeight  float64       // share of event loop time relative to other pools
	MaxAttempts int           // per request; 0 = the limit of the module's settings
	RetryAfter  time.Duration // sent when a request is rejected because a quota is exhausted

	moduleKey string // Module as JSON, to detect a change of the module
}

// newPool returns the pool at an index of the operator's file without its id and quotas.
func newPool(cfg *platformconfig.Config, f *operatorconfig.File, index int) (Pool, tomlfile.Errors) {
	s := &f.Pools[index]
	key := []string{"pool", strconv.Itoa(index)}
	pool := Pool{Name: s.Name, DiscoveryAddr: cfg.DiscoveryAddr, Module: cfg.Module, Seed: cfg.Seed}
	if s.DiscoveryAddr != "" {
		pool.DiscoveryAddr = s.DiscoveryAddr
	}
	if s.Select != nil {
		pool.Selection = listwatch.Selection{
			Zones: s.Select.Zones, Cells: s.Select.Cells, Classes: s.Select.Classes, Names: s.Select.NamePatterns,
		}
	}
	if s.SettingsPath != "" {
		m, err := platformconfig.LoadModule(s.SettingsPath, cfg.Seed)
		if err != nil {
			return pool, tomlfile.Errors{f.Errorf(append(key, "settings"), "%v", err)}
		}
		pool.Module = m
	}
	if errs := overrideClasses(&pool.Module, f, index); len(errs) > 0 {
		return pool, errs
	}
	if _, err := policy.New(pool.Module.Settings, pool.Seed); err != nil { // validates the overrides
		return pool, tomlfile.Errors{f.Errorf(key, "%v", err)}
	}
	moduleKey, err := json.Marshal(pool.Module)
	if err != nil {
		return pool, tomlfile.Errors{f.Errorf(append(key, "settings"), "%v", err)}
	}
	pool.moduleKey = string(moduleKey)
	return pool, nil
}

// overrideClasses restricts a module to the classes that a pool of the file lists, in that order, and replaces the values that
// the pool sets. A pool that lists no classes has all classes of the module.
func overrideClasses(m *platformconfig.Module, f *operatorconfig.File, index int) (errs tomlfile.Errors) {
	overrides := f.Pools[index].Classes
	if len(overrides) == 0 {
		return nil
	}
	classes, tokenTargets := m.Settings.Classes, m.TokenLatencyTargets
	m.Settings.Classes, m.TokenLatencyTargets = nil, nil
	var names []string
	for i := range classes {
		names = append(names, classes[i].Name)
	}
	for j := range overrides {
		o := &overrides[j]
		for i, c := range classes {
			if c.Name != o.Name {
				continue
			}
			m.Settings.Classes = append(m.Settings.Classes, overrideClass(c, o))
			var target time.Duration // unknown
			if i < len(tokenTargets) {
				target = tokenTargets[i]
			}
			m.TokenLatencyTargets = append(m.TokenLatencyTargets, target)
		}
		if !slices.Contains(names, o.Name) {
			key := []string{"pool", strconv.Itoa(index), "class", strconv.Itoa(j), "name"}
			errs = append(errs, f.Errorf(key, "class %q is not in the pool's settings; there are %q", o.Name, names))
		}
	}
	return errs
}

func overrideClass(c policy.Class, o *operatorconfig.PoolClass) policy.Class {
	setIfGiven(&c.Value, o.Value)
	setIfGiven(&c.LateValue, o.LateValue)
	setIfGiven(&c.TargetLatency, (*time.Duration)(o.TargetLatency))
	setIfGiven(&c.TargetLatencyPerKTokens, (*time.Duration)(o.TargetLatencyPerKTokens))
	setIfGiven(&c.Deadline, (*time.Duration)(o.Deadline))
	return c
}

func setIfGiven[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// frontendPool returns the part of the pool that frontends use. The upper bound of a request's time budget is four times the longest
// deadline of a class, or a minute if that is longer.
func (pool *Pool) frontendPool() *directory.Pool {
	var longest time.Duration
	for i := range pool.Module.Settings.Classes {
		longest = max(longest, pool.Module.Settings.Classes[i].Deadline)
	}
	return &directory.Pool{
		ID: pool.ID, Name: pool.Name, Classes: pool.Module.Settings.Classes, RetryAfter: pool.RetryAfter, MaxBudget: max(4*longest, time.Minute),
	}
}
