package policy

import (
	"fmt"
	"slices"
)

// What a balancer has learned, for the process that takes over its address (hot restart), and classes that
// are added while it runs. This file holds no decisions: it copies state out and in. Times are on the clock
// of the events, which both processes must share.

// Snapshot is what a balancer has learned beside the list of replicas and its requests. The keys of its
// encoding are those of the first format, which an earlier program reads, too.
type Snapshot struct {
	Sessions      []SnapshotSession  `cbor:"Pins"` // least recently used first
	Replicas      []SnapshotReplica  `cbor:"Replicas"`
	Prefixes      map[uint64]float64 `cbor:"Prefixes"` // recent requests by shared prefix
	Loads         [4]float64         `cbor:"Loads"`    // running means of the report columns
	Retries       float64            `cbor:"Retries"`
	ShedShare     float64            `cbor:"Shed"`
	LostValue     float64            `cbor:"Lost"`
	SpillShare    float64            `cbor:"Spill"`
	ShedAt        Time               `cbor:"ShedAt"`
	Arrived       float64            `cbor:"Arrived"`
	UsualReplicas float64            `cbor:"Usual"`
	Tenants       []float64          `cbor:"Tenants"`
}

// SnapshotSession is an entry of the session table.
type SnapshotSession struct {
	Session uint64    `cbor:"Session"`
	Replica ReplicaID `cbor:"To"`
	Used    Time      `cbor:"Used"`
}

// SnapshotReplica is what was known of one process of a replica, which ReadyAt names.
type SnapshotReplica struct {
	ID                ReplicaID `cbor:"ID"`
	ReadyAt           Time      `cbor:"ReadyAt"`
	EjectedUntil      Time      `cbor:"Until"`
	EjectionTime      Time      `cbor:"Spell"` // length of the last ejection
	DrainAt           Time      `cbor:"DrainAt"`
	AnsweredAt        Time      `cbor:"Answered"`
	ReportAt          Time      `cbor:"ReportAt"`
	FullUntil         Time      `cbor:"FullUntil"`
	Weight            float64   `cbor:"Size"`
	SlowStartBudget   float64   `cbor:"Budget"`
	SlowStartBudgetAt float64   `cbor:"BudgetAt"`
	Load              float64   `cbor:"Load"`
	Backlog           float64   `cbor:"Back"`
}

// Snapshot copies out what the balancer has learned.
func (b *Balancer) Snapshot() *Snapshot {
	l := &Snapshot{
		Loads: b.loads.mean, Retries: b.savedRetries, ShedShare: b.shedShare, LostValue: b.lostValue,
		SpillShare: b.spillShare, ShedAt: b.shedUpdatedAt, Arrived: b.arrivals,
		UsualReplicas: b.fleet.usualReplicas, Tenants: slices.Clone(b.tenants.count),
	}
	l.Prefixes = make(map[uint64]float64, len(b.prefixes.count))
	for k, n := range b.prefixes.count {
		l.Prefixes[k] = n
	}
	for e := b.sessions.recent.Back(); e != nil; e = e.Prev() {
		p := e.Value.(*sessionEntry)
		l.Sessions = append(l.Sessions, SnapshotSession{p.session, p.replica.ID, p.usedAt})
	}
	for _, r := range b.fleet.byID {
		l.Replicas = append(l.Replicas, SnapshotReplica{
			ID: r.ID, ReadyAt: r.ReadyAt, EjectedUntil: r.until, EjectionTime: r.duration,
			DrainAt: r.drainingSince, AnsweredAt: r.answeredAt, ReportAt: r.reportedAt,
			FullUntil: r.fullUntil, Weight: r.smoothedWeight, SlowStartBudget: r.slowStartBudget,
			SlowStartBudgetAt: r.slowStartBudgetAt, Load: r.load, Backlog: r.backlog,
		})
	}
	return l
}

// Restore takes over what another balancer with these settings has learned, as far as it concerns replicas
// that are listed here as the same process. It is called before the first request.
func (b *Balancer) Restore(now Time, l *Snapshot) {
	b.loads.mean = l.Loads
	b.savedRetries = min(max(l.Retries, 0), maxSavedRetries)
	b.spillShare = min(max(l.SpillShare, 0), 1)
	b.shedShare = min(max(l.ShedShare, 0), maxShedShare)
	b.lostValue = min(max(l.LostValue, 0), 1)
	b.shedUpdatedAt = min(l.ShedAt, now)
	b.arrivals, b.fleet.usualReplicas = max(l.Arrived, 0), max(l.UsualReplicas, b.fleet.usualReplicas)
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
		r.until, r.duration = min(k.EjectedUntil, now+maxEjection), min(max(k.EjectionTime, 0), maxEjection)
		r.fullUntil = min(k.FullUntil, now+fullPause)
		r.answeredAt, r.reportedAt = min(k.AnsweredAt, now), min(k.ReportAt, now)
		r.load, r.backlog = max(k.Load, 0), max(k.Backlog, 0)
		r.slowStartBudget, r.slowStartBudgetAt = min(k.SlowStartBudget, 1), min(k.SlowStartBudgetAt, b.arrivals)
		if k.Weight > 0 {
			r.smoothedWeight = k.Weight
		}
		if r.State != StateReady {
			r.drainingSince = min(k.DrainAt, r.drainingSince) // its grace period runs since the list first said so
		}
	}
	for _, p := range l.Sessions {
		if to := b.fleet.byID[p.Replica]; to != nil && p.Used <= now {
			b.sessions.assign(p.Used, p.Session, to)
		}
	}
}

// SetClasses takes further classes in. Those there are stay as they are: requests may be of them.
func (b *Balancer) SetClasses(all []Class) error {
	s := b.settings
	s.Classes = all
	if err := s.validate(); err != nil {
		return err
	}
	for i, c := range b.settings.Classes {
		if i >= len(all) || all[i] != c {
			return fmt.Errorf("policy: class %d, %q, cannot change or go", i, c.Name)
		}
	}
	b.settings.Classes = all
	for _, c := range all {
		b.minValue = min(b.minValue, c.Value)
	}
	return nil
}
