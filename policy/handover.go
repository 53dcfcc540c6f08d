package policy

import (
	"fmt"
	"slices"
)

// What a balancer has learnt, for the process that follows it at the same address, and classes that come
// while it runs. This file holds no decisions: it copies state out and in. Times are on the clock of the
// events, which both processes must share.

// Learned is what a balancer knows beside the list and its requests.
type Learned struct {
	Pins     []LearnedPin // least recently used first
	Replicas []LearnedReplica
	Prefixes map[uint64]float64 // requests seen lately, by shared beginning
	Loads    [4]float64         // running means of the columns of reports
	Retries  float64
	Shed     float64
	Lost     float64
	Spill    float64
	ShedAt   Time
	Arrived  float64
	Usual    float64
	Tenants  []float64
}

// LearnedPin is an entry of the session table.
type LearnedPin struct {
	Session uint64
	To      ReplicaID
	Used    Time
}

// LearnedReplica is what was known of one process of a replica, which ReadyAt names.
type LearnedReplica struct {
	ID                                 ReplicaID
	ReadyAt, Until, Spell, DrainAt     Time
	Answered, ReportAt, FullUntil      Time
	Size, Budget, BudgetAt, Load, Back float64
}

// Learned copies out what the balancer has learnt.
func (b *Balancer) Learned() *Learned {
	l := &Learned{
		Loads: b.loads.mean, Retries: b.retries, Shed: b.shed, Lost: b.lost, Spill: b.spill, ShedAt: b.shedAt,
		Arrived: b.arrived, Usual: b.fleet.usual, Tenants: slices.Clone(b.tenants.count),
	}
	l.Prefixes = make(map[uint64]float64, len(b.prefixes.count))
	for k, n := range b.prefixes.count {
		l.Prefixes[k] = n
	}
	for e := b.sessions.recent.Back(); e != nil; e = e.Prev() {
		p := e.Value.(*pin)
		l.Pins = append(l.Pins, LearnedPin{p.session, p.to.ID, p.used})
	}
	for _, r := range b.fleet.byID {
		l.Replicas = append(l.Replicas, LearnedReplica{
			ID: r.ID, ReadyAt: r.ReadyAt, Until: r.until, Spell: r.spell, DrainAt: r.drainAt,
			Answered: r.answered, ReportAt: r.reportAt, FullUntil: r.fullUntil, Size: r.size, Budget: r.budget,
			BudgetAt: r.budgetAt, Load: r.load, Back: r.backlog,
		})
	}
	return l
}

// Learn takes over what another balancer with these settings has learnt, as far as it concerns replicas
// that are listed here as the same process. It is called before the first request.
func (b *Balancer) Learn(now Time, l *Learned) {
	b.loads.mean, b.retries, b.spill = l.Loads, min(max(l.Retries, 0), retryBurst), min(max(l.Spill, 0), 1)
	b.shed, b.lost, b.shedAt = min(max(l.Shed, 0), shedMost), min(max(l.Lost, 0), 1), min(l.ShedAt, now)
	b.arrived, b.fleet.usual = max(l.Arrived, 0), max(l.Usual, b.fleet.usual)
	if len(l.Tenants) == len(b.tenants.count) {
		for i, n := range l.Tenants {
			b.tenants.count[i] = max(n, 0)
			b.tenants.total += max(n, 0)
		}
	}
	for k, n := range l.Prefixes {
		if n > 0 {
			b.prefixes.count[k] = n
			b.prefixes.total += n
		}
	}
	for _, k := range l.Replicas {
		r := b.fleet.byID[k.ID]
		if r == nil || r.ReadyAt != k.ReadyAt {
			continue
		}
		r.until, r.spell = min(k.Until, now+closedMost), min(max(k.Spell, 0), closedMost)
		r.fullUntil = min(k.FullUntil, now+fullSpell)
		r.answered, r.reportAt = min(k.Answered, now), min(k.ReportAt, now)
		r.load, r.backlog = max(k.Load, 0), max(k.Back, 0)
		r.budget, r.budgetAt = min(k.Budget, 1), min(k.BudgetAt, b.arrived)
		if k.Size > 0 {
			r.size = k.Size
		}
		if r.State != Ready {
			r.drainAt = min(k.DrainAt, r.drainAt) // its grace has run since it was first told
		}
	}
	for _, p := range l.Pins {
		if to := b.fleet.byID[p.To]; to != nil && p.Used <= now {
			b.sessions.pin(p.Used, p.Session, to)
		}
	}
}

// SetClasses takes further classes in. Those there are stay as they are: requests may be of them.
func (b *Balancer) SetClasses(all []Class) error {
	s := b.set
	s.Classes = all
	if err := s.validate(); err != nil {
		return err
	}
	for i, c := range b.set.Classes {
		if i >= len(all) || all[i] != c {
			return fmt.Errorf("policy: class %d, %q, cannot change or go", i, c.Name)
		}
	}
	b.set.Classes = all
	for _, c := range all {
		b.leastWorth = min(b.leastWorth, c.Worth)
	}
	return nil
}
