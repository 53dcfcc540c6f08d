package check

import (
	"bytes"
	"fmt"
	"slices"
	"syscall"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/storage"
)

// written is the content that a store must hold after a write of the script.
type written struct {
	state    replog.State
	acceptor paxos.AcceptorState
	value    []byte // appended by this write; nil = the write saved the acceptor's state or an endpoint

	endpoints      []endpoints.Record // ordered by id
	storesEndpoint bool               // this write stored the last one of endpoints
}

// matches reports whether a store has recovered exactly this content.
func (w *written) matches(r *storage.Recovered) bool {
	return bytes.Equal(w.state.Encode(), r.State.Encode()) && w.acceptor.Index == r.Acceptor.Index && w.acceptor.Promised == r.Acceptor.Promised &&
		w.acceptor.Accepted == r.Acceptor.Accepted && bytes.Equal(w.acceptor.Value, r.Acceptor.Value) && slices.Equal(w.endpoints, r.Endpoints)
}

// writeScript returns the writes of a replica that takes part in choosing 36 entries: a promise, an accepted value and the
// chosen value of each. It stores an endpoint after every third entry. The values are long enough for journals to be rotated.
func writeScript() (script []written) {
	var w written
	for index := range uint64(36) {
		w.value = nil
		w.acceptor = paxos.AcceptorState{Index: index, Promised: paxos.ProposalNumber{Term: index + 1, Proposer: 3}}
		script = append(script, w)
		value := replog.Entry{Nonce: index, Payload: scriptPayload(index)}.Encode()
		w.acceptor.Accepted, w.acceptor.Value = w.acceptor.Promised, value
		script = append(script, w)
		w.state.Apply(value)
		w.value = value
		script = append(script, w)
		if index%3 == 0 {
			w.value, w.storesEndpoint = nil, true
			w.endpoints = append(slices.Clone(w.endpoints), endpoints.Record{ID: fmt.Sprintf("i-%02d", index), State: endpoints.StateDraining, CallCount: index})
			script = append(script, w)
			w.storesEndpoint = false
		}
	}
	return script
}

func scriptPayload(index uint64) replog.Payload {
	switch {
	case index == 0:
		return replog.MembersChange{Members: []replog.Member{{ID: 7, Name: "a", Addr: "x"}}}
	case index%4 == 0:
		return replog.UsageReport{Window: index, Counts: []replog.TenantCount{{Tenant: "k", Requests: index}}}
	}
	return replog.ConfigChange{BaseRevision: index, Config: bytes.Repeat([]byte{byte(index)}, 30_000)} // never decoded
}

// maxReopens bounds the attempts to reopen a store whose disk refuses writes.
const maxReopens = 50

// runScript writes the script to a store on a disk until a write fails, and returns how many writes were acknowledged. If
// reopens is true, a store with a failed write is reopened and rewritten, as a replica does, and the script continues.
func runScript(d *disk, script []written, reopens bool) (acknowledged int, err error) {
	identity := storage.Identity{ID: 7, IsFounder: true}
	s, _, err := storage.OpenFiles(d.open, identity)
	for attempt := 0; reopens && err != nil && attempt < maxReopens; attempt++ {
		s, _, err = storage.OpenFiles(d.open, identity)
	}
	if err != nil {
		return 0, err
	}
	defer func() { _ = s.Close() }() // unsynced data may be lost
	for i := range script {
		err := write(s, &script[i])
		for attempt := 0; reopens && err != nil && attempt < maxReopens; attempt++ {
			err = rewrite(s, &script[i])
		}
		if err != nil {
			return i, err
		}
	}
	return len(script), nil
}

func write(s *storage.Store, w *written) error {
	switch {
	case w.value != nil:
		return s.AppendChosen(w.value, &w.state)
	case w.storesEndpoint:
		return s.UpdateEndpoints(storage.EndpointChanges{Put: w.endpoints[len(w.endpoints)-1:]})
	}
	return s.SaveAcceptor(w.acceptor)
}

// rewrite reopens a store after a failed write, and writes the state and the endpoint that may have failed. The store must have kept all
// other endpoints.
func rewrite(s *storage.Store, w *written) error {
	if err := s.Reopen(); err != nil {
		return err
	}
	if err := s.SaveSnapshot(&w.state); err != nil {
		return err
	}
	if err := s.SaveAcceptor(w.acceptor); err != nil || !w.storesEndpoint {
		return err
	}
	return write(s, w)
}

// checkRecovered opens a store and checks that it holds all acknowledged writes, and at most the one that was in progress.
func checkRecovered(d *disk, script []written, acknowledged int) error {
	s, r, err := storage.OpenFiles(d.open, storage.Identity{ID: 99})
	if err != nil {
		return fmt.Errorf("store does not open: %w", err)
	}
	defer func() { _ = s.Close() }() // it was only read
	want := &written{}
	if acknowledged > 0 {
		want = &script[acknowledged-1]
		if r.ID != 7 {
			return fmt.Errorf("store has replica ID %d, not 7", r.ID)
		}
	}
	if want.matches(r) || acknowledged < len(script) && script[acknowledged].matches(r) {
		return nil
	}
	return fmt.Errorf("next index %d, acceptor at index %d, promised %d, accepted %v; want index %d, promised %+v", r.State.NextIndex,
		r.Acceptor.Index, r.Acceptor.Promised.Term, r.Acceptor.Value != nil, want.state.NextIndex, want.acceptor.Promised)
}

// losePowerAtEachStep simulates a loss of power at every stride-th step of the script, with each kind of loss. It returns the
// violations and the number of losses.
func losePowerAtEachStep(skipsNameSync bool, stride int) (violations []error, losses int) {
	script := writeScript()
	for at := 1; ; at += stride {
		d := newDisk()
		d.skipsNameSync, d.failAt, d.err = skipsNameSync, at, errPowerLost
		n, err := runScript(d, script, false)
		if err == nil && d.steps < at {
			return violations, losses
		}
		for kind := range lossKinds {
			losses++
			if err := checkRecovered(d.afterPowerLoss(kind, uint64(at)), script, n); err != nil {
				violations = append(violations, fmt.Errorf("power lost at step %d, kind %d, after %d writes: %w", at, kind, n, err))
			}
		}
	}
}

// refuseWritesAtEachStep makes one or four writes fail at every stride-th step of the script, with ENOSPC or EIO. The store must
// recover, and hold all writes after a final loss of power.
func refuseWritesAtEachStep(stride int) (violations []error) {
	script := writeScript()
	for at, isDone := 1, false; !isDone; at += stride {
		for _, failures := range []int{1, 4} {
			d := newDisk()
			d.failAt, d.failures, d.err = at, failures, syscall.ENOSPC
			if at%2 == 0 {
				d.err = syscall.EIO
			}
			n, err := runScript(d, script, true)
			isDone = d.steps < at
			if n != len(script) || err != nil {
				violations = append(violations, fmt.Errorf("%d writes refused from step %d: ended after %d writes: %w", failures, at, n, err))
				continue
			}
			if err := checkRecovered(d.afterPowerLoss(keepNothing, uint64(at)), script, n); err != nil {
				violations = append(violations, fmt.Errorf("%d writes refused from step %d: %w", failures, at, err))
			}
		}
	}
	return violations
}
