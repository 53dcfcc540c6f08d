package policy

import (
	"fmt"
	"slices"
)

// This file copies the state of a balancer to the process that replaces it in a hot restart, and adds classes
// at run time. Times are on the clock of the events, which both processes must share.

// Snapshot is the state of a balancer without the list of replicas and the requests. The CBOR keys are those
// of the first release, so that older releases can read it.
type Snapshot struct {
	Sessions          []SnapshotSession  `cbor:"Pins"` // least recently used first
	Replicas          []SnapshotReplica  `cbor:"Replicas"`
	Prefixes          map[uint64]float64 `cbor:"Prefixes"` // recent requests by shared prefix
	Loads             [4]float64         `cbor:"Loads"`    // running means of the report columns
	RetryBudget       float64            `cbor:"Retries"`
	ShedShare         float64            `cbor:"Shed"`
	LostValue         float64            `cbor:"Lost"`
	SpillShare        float64            `cbor:"Spill"`
	ShedUpdatedAt     Time               `cbor:"ShedAt"`
	Arrivals          float64            `cbor:"Arrived"`
	RecentMaxReplicas float64            `cbor:"Usual"`
	Tenants           []float64          `cbor:"Tenants"`
}

// SnapshotSession is an entry of the session table.
type SnapshotSession struct {
	Session uint64    `cbor:"Session"`
	Replica ReplicaID `cbor:"To"`
	UsedAt  Time      `cbor:"Used"`
}

// SnapshotReplica is the health of one process of a replica. ReadyAt identifies the process.
type SnapshotReplica struct {
	ID                ReplicaID `cbor:"ID"`
	ReadyAt           Time      `cbor:"ReadyAt"`
	EjectedUntil      Time      `cbor:"Until"`
	EjectionDuration  Time      `cbor:"Spell"` // length of the last ejection
	DrainingSince     Time      `cbor:"DrainAt"`
	LastResponseAt    Time      `cbor:"Answered"`
	ReportedAt        Time      `cbor:"ReportAt"`
	FullUntil         Time      `cbor:"FullUntil"`
	Weight            float64   `cbor:"Size"`
	SlowStartBudget   float64   `cbor:"Budget"`
	SlowStartBudgetAt float64   `cbor:"BudgetAt"`
	Load              float64   `cbor:"Load"`
	Backlog           float64   `cbor:"Back"`
}

// Snapshot returns a copy of the balancer's state.
func (b *Balancer) Snapshot() *Snapshot {
	snapshot := &Snapshot{
		Loads: b.loads.mean, RetryBudget: b.retryBudget, ShedShare: b.shedShare, LostValue: b.lostValue,
		SpillShare: b.spillShare, ShedUpdatedAt: b.shedUpdatedAt, Arrivals: b.arrivals,
		RecentMaxReplicas: b.fleet.recentMaxReplicas, Tenants: slices.Clone(b.tenants.count),
	}
	snapshot.Prefixes = make(map[uint64]float64, len(b.prefixes.count))
	for prefix, n := range b.prefixes.count {
		snapshot.Prefixes[prefix] = n
	}
	for element := b.sessions.recent.Back(); element != nil; element = element.Prev() {
		entry := element.Value.(*sessionEntry)
		snapshot.Sessions = append(snapshot.Sessions,
			SnapshotSession{entry.session, entry.replica.ID, entry.usedAt})
	}
	for _, target := range b.fleet.byID {
		snapshot.Replicas = append(snapshot.Replicas, SnapshotReplica{
			ID: target.ID, ReadyAt: target.ReadyAt, EjectedUntil: target.until, EjectionDuration: target.duration,
			DrainingSince: target.drainingSince, LastResponseAt: target.lastResponseAt, ReportedAt: target.reportedAt,
			FullUntil: target.fullUntil, Weight: target.smoothedWeight, SlowStartBudget: target.slowStartBudget,
			SlowStartBudgetAt: target.slowStartBudgetAt, Load: target.load, Backlog: target.backlog,
		})
	}
	return snapshot
}

// Restore applies the snapshot of another balancer with the same settings. The state of a replica is ignored
// unless it is listed here with the same ReadyAt. Restore must be called before the first request.
func (b *Balancer) Restore(now Time, snapshot *Snapshot) {
	b.loads.mean = snapshot.Loads
	b.retryBudget = min(max(snapshot.RetryBudget, 0), maxRetryBudget)
	b.spillShare = min(max(snapshot.SpillShare, 0), 1)
	b.shedShare = min(max(snapshot.ShedShare, 0), maxShedShare)
	b.lostValue = min(max(snapshot.LostValue, 0), 1)
	b.shedUpdatedAt = min(snapshot.ShedUpdatedAt, now)
	b.arrivals, b.fleet.recentMaxReplicas = max(snapshot.Arrivals, 0),
		max(snapshot.RecentMaxReplicas, b.fleet.recentMaxReplicas)
	if len(snapshot.Tenants) == len(b.tenants.count) {
		for i, n := range snapshot.Tenants {
			b.tenants.count[i] = max(n, 0)
			b.tenants.total += max(n, 0)
		}
	}
	for prefix, n := range snapshot.Prefixes {
		if n > 0 {
			b.prefixes.count[prefix] = n
			b.prefixes.total += n
		}
	}
	for _, saved := range snapshot.Replicas {
		target := b.fleet.byID[saved.ID]
		if target == nil || target.ReadyAt != saved.ReadyAt {
			continue
		}
		target.until, target.duration = min(saved.EjectedUntil, now+maxEjection),
			min(max(saved.EjectionDuration, 0), maxEjection)
		target.fullUntil = min(saved.FullUntil, now+fullBackoff)
		target.lastResponseAt, target.reportedAt = min(saved.LastResponseAt, now), min(saved.ReportedAt, now)
		target.load, target.backlog = max(saved.Load, 0), max(saved.Backlog, 0)
		target.slowStartBudget, target.slowStartBudgetAt = min(saved.SlowStartBudget, 1),
			min(saved.SlowStartBudgetAt, b.arrivals)
		if saved.Weight > 0 {
			target.smoothedWeight = saved.Weight
		}
		if target.State != StateReady {
			target.drainingSince = min(saved.DrainingSince, target.drainingSince) // keeps the original grace period
		}
	}
	for _, entry := range snapshot.Sessions {
		if target := b.fleet.byID[entry.Replica]; target != nil && entry.UsedAt <= now {
			b.sessions.assign(entry.UsedAt, entry.Session, target)
		}
	}
}

// SetClasses appends classes. Existing classes cannot change, because current requests may refer to them.
func (b *Balancer) SetClasses(classes []Class) error {
	s := b.settings
	s.Classes = classes
	if err := s.validate(); err != nil {
		return err
	}
	for i, c := range b.settings.Classes {
		if i >= len(classes) || classes[i] != c {
			return fmt.Errorf("policy: class %d, %q, cannot be changed or removed", i, c.Name)
		}
	}
	b.settings.Classes = classes
	for _, c := range classes {
		b.minValue = min(b.minValue, c.Value)
	}
	return nil
}
