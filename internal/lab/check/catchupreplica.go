package check

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/util"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/storage"
)

// simReplica is a simulated machine and the replica process on it.
type simReplica struct {
	sim                           *catchUpSim
	index                         int // in catchUpSim.replicas
	disk                          *disk
	store                         *storage.Store
	replica                       *replica.Replica
	isUp                          bool
	incarnation                   int
	isBusy                        bool
	needsReopen                   bool // a write has failed since the store was opened
	queue                         []queuedEvent
	tickAt                        time.Duration // time of the next Tick; 0 = none is scheduled
	outboundFreeAt, inboundFreeAt time.Duration // when the link finishes the transfers in flight
	id                            uint64
	ackedIndex                    uint64              // NextIndex of the newest state that the disk has acknowledged
	ackedAcceptor                 paxos.AcceptorState // newest acceptor state that the disk has acknowledged
	maxQueue                      int
	slowdown                      float64 // writes take 1 + slowdown times their usual time

	// Callers that wait for a response from this incarnation.
	calls   replica.Pending[*pendingCall]
	answers replica.Pending[func(api.Result)]
}

// queuedEvent is an event that waits while the process is busy.
type queuedEvent struct {
	replica.Event
	since time.Duration
}

// start starts the process from its disk, and checks that everything the disk acknowledged is still there.
func (m *simReplica) start() {
	sim := m.sim
	id := sim.rnd.Uint64() | 1
	s, recovered, err := storage.OpenFiles(m.disk.open, storage.Identity{ID: id, IsFounder: sim.maxIndex == 0})
	if err != nil {
		if m.disk.hasFailed() && errors.Is(m.disk.fault(), syscall.ENOSPC) { // the platform restarts the process
			sim.after(100*time.Millisecond, func() {
				if !m.isUp {
					m.start()
				}
			})
		} else if !m.disk.hasLostPower() {
			sim.violate("member %d cannot open its store: %v", m.index, err)
		}
		m.stop(true)
		return
	}
	if m.id != recovered.ID {
		m.id, m.ackedIndex, m.ackedAcceptor = recovered.ID, 0, paxos.AcceptorState{}
	}
	if v := &recovered.Acceptor; recovered.State.NextIndex < m.ackedIndex || cmp.Or(cmp.Compare(v.Index, m.ackedAcceptor.Index), v.Promised.Compare(m.ackedAcceptor.Promised),
		v.Accepted.Compare(m.ackedAcceptor.Accepted)) < 0 {
		sim.violate("member %d has NextIndex %d and acceptor %+v on its disk, which had acknowledged %d and %+v", m.index, recovered.State.NextIndex, v, m.ackedIndex, m.ackedAcceptor)
	}
	sim.checkState(m, &recovered.State)
	m.store, m.isUp, m.isBusy, m.needsReopen, m.queue, m.tickAt = s, true, false, false, nil, 0
	m.calls, m.answers = replica.Pending[*pendingCall]{}, replica.Pending[func(api.Result)]{}
	m.incarnation++
	m.replica = replica.New(replica.Config{
		Self: replog.Member{ID: recovered.ID, Name: fmt.Sprintf("k%d", m.index), Addr: simAddr(m.index).String()}, IsFounder: recovered.IsFounder, MinVoters: sim.members,
		Incarnation: sim.rnd.Uint64(), Seed: sim.rnd.Uint64(), State: recovered.State, Acceptor: recovered.Acceptor, ChosenValue: s.ChosenValue,
		Peers: func() (all []netip.AddrPort) {
			for i := range sim.replicas {
				if i != m.index {
					all = append(all, simAddr(i))
				}
			}
			return all
		},
	})
	m.enqueue(replica.Tick{})
}

// stop ends the process. A power loss may drop data that was not synced.
func (m *simReplica) stop(losesPower bool) {
	loss := keepAll
	if losesPower {
		loss = m.sim.rnd.IntN(lossKinds)
	}
	next := m.disk.afterPowerLoss(loss, m.sim.rnd.Uint64())
	if m.store != nil {
		_ = m.store.Close() // the next disk is already determined
	}
	m.store, m.disk, m.isUp, m.isBusy, m.queue = nil, next, false, false, nil
	m.incarnation++
}

// enqueue queues an event, and handles it as soon as the process is free.
func (m *simReplica) enqueue(e replica.Event) {
	if m.isUp {
		m.queue = append(m.queue, queuedEvent{e, m.sim.now})
		m.maxQueue = max(m.maxQueue, len(m.queue))
		m.handleQueued()
	}
}

// handleQueued handles queued events one at a time. Calls whose callers have timed out are dropped.
func (m *simReplica) handleQueued() {
	for m.isUp && !m.isBusy && len(m.queue) > 0 {
		e, since := m.queue[0].Event, m.queue[0].since
		m.queue = m.queue[1:]
		switch x := e.(type) {
		case replica.CallReceived:
			if m.sim.now-since > rpc.Lookup(x.Kind).Timeout && m.sim.brokenRule != brokenTimeout {
				if c, ok := m.calls.Take(x.Request); ok {
					c.respond(nil, errCallTimeout)
				}
				continue
			}
			m.reduce(e)
		case replica.ReplaceConfig:
			m.occupy(m.sim.decodeTime(len(x.Config)), func() { m.reduce(e) })
		case replica.ReadConfig:
			if m.sim.brokenRule == brokenReads {
				s := m.replica.State()
				if answer, ok := m.answers.Take(x.Request); ok {
					answer(api.Result{Status: 200, Revision: s.Revision})
				}
				continue
			}
			m.reduce(e)
		default:
			m.reduce(e)
		}
	}
	m.scheduleTick()
}

// occupy keeps the process busy for d, then calls done unless the process has stopped meanwhile.
func (m *simReplica) occupy(d time.Duration, done func()) {
	incarnation := m.incarnation
	m.isBusy = true
	m.sim.after(d, func() {
		if m.incarnation == incarnation {
			m.isBusy = false
			done()
			m.handleQueued()
		}
	})
}

func (m *simReplica) reduce(e replica.Event) {
	m.perform(append([]replica.Effect(nil), m.replica.Reduce(m.sim.now, e)...))
}

// scheduleTick schedules a Tick for the replica's next timer, at least a millisecond from now.
func (m *simReplica) scheduleTick() {
	if !m.isUp || m.isBusy {
		return
	}
	at, ok := m.replica.NextTimer()
	if at = max(at, m.sim.now+time.Millisecond); !ok || m.tickAt > m.sim.now && m.tickAt <= at {
		return
	}
	m.tickAt = at
	incarnation := m.incarnation
	m.sim.after(at-m.sim.now, func() {
		if m.incarnation == incarnation && m.tickAt == at {
			m.tickAt = 0
			m.enqueue(replica.Tick{})
		}
	})
}

// perform carries out effects in order. A write keeps the process busy, and the remaining effects follow when it is done.
func (m *simReplica) perform(effects []replica.Effect) {
	sim := m.sim
	for len(effects) > 0 {
		f := effects[0]
		effects = effects[1:]
		switch f := f.(type) {
		case replica.Write:
			rest := effects
			m.occupy(sim.writeTime(&f, m.slowdown), func() {
				ok := m.write(&f)
				if m.isUp {
					m.perform(append(rest, m.replica.Reduce(sim.now, replica.WriteDone{ID: f.ID, Durable: ok})...))
				}
			})
			return
		case replica.SendCall:
			sim.call(m, f)
		case replica.SendReply:
			c, ok := m.calls.Take(f.Request)
			if !ok {
				continue
			}
			body := f.Body
			if c.kind == rpc.KindSnapshot && len(body) > 0 {
				if body = sim.alterSnapshot(body); sim.brokenRule == brokenSnapshot {
					body = sim.encodedStates[c.nextIndex+1]
				}
			}
			sim.transfer(m, c.from, len(body), func() { c.respond(body, f.Err) })
		case replica.OperatorAnswer:
			if answer, ok := m.answers.Take(f.Request); ok {
				answer(f.Result)
			}
		case replica.StateChanged:
			sim.checkState(m, &f.State)
		}
	}
}

// write performs a write and reports whether it is durable. After a failed write it first reopens the store and rewrites the
// whole state, as the program does.
func (m *simReplica) write(f *replica.Write) (isDurable bool) {
	err := error(nil)
	if m.needsReopen {
		err = m.reopen()
	}
	if err == nil {
		err = m.writeToStore(f)
	}
	if m.disk.hasLostPower() {
		m.stop(true)
		return false
	}
	if m.needsReopen = err != nil; m.needsReopen {
		return false
	}
	if f.Snapshot || f.Value != nil {
		m.ackedIndex = max(m.ackedIndex, f.State.NextIndex)
	} else {
		m.ackedAcceptor = f.Acceptor
	}
	return true
}

func (m *simReplica) reopen() error {
	if err := m.store.Reopen(); err != nil {
		return err
	}
	state := m.replica.State()
	if err := m.store.SaveSnapshot(&state); err != nil {
		return err
	}
	return m.store.SaveAcceptor(m.replica.AcceptorState())
}

func (m *simReplica) writeToStore(f *replica.Write) error {
	switch {
	case f.Snapshot && m.sim.brokenRule == brokenOrder:
		return nil
	case f.Snapshot && m.sim.brokenRule == brokenBatch:
		return m.saveSnapshotInTwoWrites(f.State)
	case f.Snapshot:
		return m.store.SaveSnapshot(f.State)
	case f.Value != nil:
		return m.store.AppendChosen(f.Value, f.State)
	}
	return m.store.SaveAcceptor(f.Acceptor)
}

// saveSnapshotInTwoWrites breaks the rule brokenBatch: it removes the log entries in one write and saves the snapshot in another.
func (m *simReplica) saveSnapshotInTwoWrites(s *replog.State) error {
	_ = m.store.Close() // the files are reopened from the disk
	files, err := m.disk.open()
	if err != nil {
		return err
	}
	db, err := leveldb.Open(files, nil)
	if err != nil {
		return err
	}
	it := db.NewIterator(util.BytesPrefix([]byte("place/")), nil)
	removals := new(leveldb.Batch)
	for it.Next() {
		removals.Delete(bytes.Clone(it.Key()))
	}
	it.Release()
	err = db.Write(removals, &opt.WriteOptions{Sync: true})
	if err == nil {
		err = db.Put([]byte("state"), s.Encode(), &opt.WriteOptions{Sync: true})
	}
	_ = db.Close() // the store is reopened from the disk
	return errors.Join(err, m.store.Reopen())
}
