package check

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/timerqueue"
)

// catchUpSim is replicas, each the program's own replica.Replica with its own store on a simulated disk, while one operator
// changes the configuration many times a second. Links, disks and decoding take time in proportion to bytes, and a process
// does one thing at a time. Members are away for a number of changes, come back with or without their disks, and are killed
// as they catch up. It is in simulated time; equal seeds have equal results, but for what a database does in the background.
type catchUpSim struct {
	catchUpConfig
	rnd            *rand.Rand
	now            time.Duration
	timers         *timerqueue.Queue[func()]
	replicas       []*simReplica
	stateDigests   map[uint64][sha256.Size]byte // by NextIndex
	encodedStates  map[uint64][]byte            // by NextIndex, for brokenSnapshot
	maxIndex       uint64                       // highest NextIndex of any replica
	ackedRevision  uint64
	goalRevision   uint64 // changes are made up to it
	lastMember     int    // that the operator had its answer from
	violation      string // the first one; "" = none
	snapshotCalls  int
	slowestChange  time.Duration
	longestCatchUp time.Duration
	padding        []byte
	alterSnapshot  func(state []byte) []byte // what becomes of a snapshot on its way
}

// catchUpConfig is the load and the hardware of a catchUpSim.
type catchUpConfig struct {
	members        int
	spares         int           // machines that are no founders, and are not started
	paddingBytes   int           // of a configuration, beside its routes
	routes         int           // of a configuration
	changeInterval time.Duration // between the beginnings of two changes, at least
	linkRate       float64       // bytes per second into and out of a machine
	syncTime       time.Duration // of a disk
	diskRate       float64       // bytes per second that a disk writes
	decodeRate     float64       // bytes of a configuration that a replica decodes per second
	rotatesMembers bool          // the operator turns to the next member each time, and not to the one that answered last
	brokenRule     string        // "" = none
}

// Rules that are broken on purpose.
const (
	brokenBatch    = "a snapshot and the removal of its entries are two writes"
	brokenOrder    = "it votes with a state that is not on its disk"
	brokenSnapshot = "a snapshot has one entry more, not all"
	brokenTimeout  = "calls are handled after their time-out"
	brokenReads    = "reads are answered from local state"
)

// smallConfigs and largeConfigs have 14 changes a second, three members with links of 120 Mbit/s, and disks as the control sites
// have them; a configuration has a few bytes, or 262 kB.
func smallConfigs() catchUpConfig {
	return catchUpConfig{members: 3, changeInterval: time.Second / 14, linkRate: 15e6, syncTime: 2 * time.Millisecond, diskRate: 250e6, decodeRate: 20e6}
}

func largeConfigs() catchUpConfig {
	s := smallConfigs()
	s.paddingBytes = 262_000
	return s
}

// scaledConfigs is largeConfigs with all sizes and rates a thirteenth: it takes as long, and less memory.
func scaledConfigs() catchUpConfig {
	s := largeConfigs()
	const by = 13
	s.paddingBytes /= by
	s.linkRate, s.diskRate, s.decodeRate = s.linkRate/by, s.diskRate/by, s.decodeRate/by
	return s
}

func newCatchUpSim(of catchUpConfig, seed uint64) *catchUpSim {
	w := &catchUpSim{
		catchUpConfig: of, rnd: rand.New(rand.NewPCG(seed, 33)), timers: timerqueue.New[func()](), stateDigests: map[uint64][sha256.Size]byte{},
		encodedStates: map[uint64][]byte{}, alterSnapshot: func(b []byte) []byte { return b },
	}
	for i := range of.members + of.spares {
		w.replicas = append(w.replicas, &simReplica{sim: w, position: i, disk: newDisk()})
	}
	w.padding = make([]byte, of.paddingBytes) // the database cannot compress it
	for i := range w.padding {
		w.padding[i] = byte(w.rnd.Uint32())
	}
	for _, m := range w.replicas[:of.members] {
		m.start()
	}
	w.runUntil(10*time.Second, func() bool { return w.maxIndex > 0 })
	return w
}

// after calls do once d has passed.
func (w *catchUpSim) after(d time.Duration, do func()) { w.timers.Add(w.now+d, do) }

// violate notes a violation, if it is the first.
func (w *catchUpSim) violate(says string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(says, args...)
	}
}

// runUntil runs the simulation until a condition holds, for a time at most, and returns how long it took; false = it never held.
func (w *catchUpSim) runUntil(timeout time.Duration, holds func() bool) (time.Duration, bool) {
	began := w.now
	for !holds() {
		at, ok := w.timers.NextDue()
		if !ok || at > began+timeout || w.violation != "" {
			w.now = max(w.now, min(began+timeout, at))
			return w.now - began, false
		}
		w.now = at
		do, _ := w.timers.PopDue(at)
		do()
	}
	return w.now - began, true
}

func (w *catchUpSim) runFor(d time.Duration) { w.runUntil(d, func() bool { return false }) }

func simAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 7000)
}

// checkState checks that a replica has the same state as the others had at its index.
func (w *catchUpSim) checkState(m *simReplica, s *replog.State) {
	if s.NextIndex == 0 {
		return
	}
	encoded := s.Encode()
	digest := sha256.Sum256(encoded)
	if w.brokenRule == brokenSnapshot {
		w.encodedStates[s.NextIndex] = encoded
	}
	if was, known := w.stateDigests[s.NextIndex]; known && was != digest {
		w.violate("member %d has another state at index %d than others", m.position, s.NextIndex)
	}
	w.stateDigests[s.NextIndex], w.maxIndex = digest, max(w.maxIndex, s.NextIndex)
}

// pendingCall is a call that waits for its response.
type pendingCall struct {
	from    *simReplica
	kind    rpc.Kind
	index   uint64 // with CallSnapshot: the caller's NextIndex
	respond func(body []byte, err error)
}

// call sends a call. Its response comes back, or the call times out.
func (w *catchUpSim) call(m *simReplica, c replica.SendCall) {
	b := c.To.Addr().As4()
	to, incarnation, isOver := w.replicas[b[3]-1], m.incarnation, false
	p := &pendingCall{from: m, kind: c.Kind}
	if c.Kind == rpc.KindSnapshot {
		w.snapshotCalls++
		p.index, _, _ = replica.DecodeIndexed(c.Body) // encoded by the replica
	}
	p.respond = func(body []byte, err error) {
		if !isOver && m.incarnation == incarnation {
			isOver = true
			m.enqueue(replica.CallReturned{ID: c.ID, Body: body, Err: err})
		}
	}
	w.after(c.Timeout, func() { p.respond(nil, errCallTimeout) })
	if !to.isUp {
		w.after(time.Millisecond, func() { p.respond(nil, errCallTimeout) })
		return
	}
	w.transfer(m, to, len(c.Body), func() {
		to.enqueue(replica.CallReceived{Kind: c.Kind, Body: c.Body, From: simAddr(m.position).Addr(), Request: to.calls.Add(p)})
	})
}

var errCallTimeout = errors.New("call timed out")

// transfer calls done when bytes have come from one machine to another, behind what their links carry already.
func (w *catchUpSim) transfer(from, to *simReplica, size int, done func()) {
	duration := time.Duration(float64(size+64) / w.linkRate * float64(time.Second))
	from.linkOutFree = max(from.linkOutFree, w.now) + duration
	to.linkInFree = max(to.linkInFree, from.linkOutFree-duration) + duration
	w.after(max(from.linkOutFree, to.linkInFree)-w.now+500*time.Microsecond+time.Duration(w.rnd.Int64N(int64(300*time.Microsecond))), done)
}

// decodeTime returns how long a replica decodes a configuration.
func (w *catchUpSim) decodeTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / w.decodeRate * float64(time.Second))
}

// writeTime returns how long a write keeps a process busy: the disk's time, and the decoding of what is chosen.
func (w *catchUpSim) writeTime(f *replica.Write, slowdown float64) time.Duration {
	size := len(f.Acceptor.Value)
	decode := time.Duration(0)
	switch {
	case f.Snapshot:
		size = len(f.State.Config)
	case f.Value != nil:
		size, decode = len(f.Value), w.decodeTime(len(f.Value))
	}
	return time.Duration((1+slowdown)*(float64(w.syncTime)+float64(size)/w.diskRate*float64(time.Second))) + decode
}
