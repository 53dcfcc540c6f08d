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

// catchUpSim simulates a cluster while one operator changes the configuration many times a second. Each member is the
// program's own replica.Replica with its store on a simulated disk. Members stop for a number of changes, restart with or
// without their disks, and crash during catch-up. Links, disks and decoding take time in proportion to bytes, and a process
// handles one event at a time. The simulation uses simulated time; equal seeds give equal results, except where the store's
// database compacts in the background.
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
	goalRevision   uint64 // the operator submits no change beyond this revision
	lastReplica    int    // index of the replica that acknowledged the newest change
	violation      string // the first; "" = none
	snapshotCalls  int
	slowestChange  time.Duration
	longestCatchUp time.Duration
	padding        []byte
	alterSnapshot  func(state []byte) []byte // applied to each snapshot in transit
}

// catchUpConfig sets the load and the simulated hardware of a catchUpSim.
type catchUpConfig struct {
	members        int
	spares         int           // machines that are not founders and are not started
	paddingBytes   int           // of a configuration, in addition to its routes
	routes         int           // of a configuration
	changeInterval time.Duration // minimum time between the starts of two changes
	linkRate       float64       // bytes per second, for each direction of a machine
	syncTime       time.Duration // of a disk write, besides its bytes
	diskRate       float64       // bytes per second
	decodeRate     float64       // bytes of a configuration per second
	rotatesMembers bool          // each change goes to the next member rather than to the member that acknowledged the previous change
	brokenRule     string        // "" = none
}

// Rules of catch-up that a walk breaks on purpose; each must be detected.
const (
	brokenBatch    = "a snapshot and the removal of its entries are two writes"
	brokenOrder    = "a replica votes with state that is not on its disk"
	brokenSnapshot = "a snapshot carries one more entry, not all"
	brokenTimeout  = "calls are handled after their timeout"
	brokenReads    = "reads are answered from local state"
)

// smallConfigs is a load of 14 changes a second, each a few bytes, on three members with links of 120 Mbit/s and the disks of
// the control sites.
func smallConfigs() catchUpConfig {
	return catchUpConfig{members: 3, changeInterval: time.Second / 14, linkRate: 15e6, syncTime: 2 * time.Millisecond, diskRate: 250e6, decodeRate: 20e6}
}

// largeConfigs is smallConfigs with configurations of 262 kB.
func largeConfigs() catchUpConfig {
	s := smallConfigs()
	s.paddingBytes = 262_000
	return s
}

// scaledConfigs is largeConfigs with all sizes and rates divided alike: the same simulated times in less memory.
func scaledConfigs() catchUpConfig {
	s := largeConfigs()
	const divisor = 13
	s.paddingBytes /= divisor
	s.linkRate, s.diskRate, s.decodeRate = s.linkRate/divisor, s.diskRate/divisor, s.decodeRate/divisor
	return s
}

// newCatchUpSim starts the members and runs until they have founded the cluster.
func newCatchUpSim(config catchUpConfig, seed uint64) *catchUpSim {
	sim := &catchUpSim{
		catchUpConfig: config, rnd: rand.New(rand.NewPCG(seed, 33)), timers: timerqueue.New[func()](), stateDigests: map[uint64][sha256.Size]byte{},
		encodedStates: map[uint64][]byte{}, alterSnapshot: func(b []byte) []byte { return b },
	}
	for i := range config.members + config.spares {
		sim.replicas = append(sim.replicas, &simReplica{sim: sim, index: i, disk: newDisk()})
	}
	sim.padding = make([]byte, config.paddingBytes) // random, so that the database cannot compress it
	for i := range sim.padding {
		sim.padding[i] = byte(sim.rnd.Uint32())
	}
	for _, m := range sim.replicas[:config.members] {
		m.start()
	}
	sim.runUntil(10*time.Second, func() bool { return sim.maxIndex > 0 })
	return sim
}

// after schedules callback in d from now.
func (sim *catchUpSim) after(d time.Duration, callback func()) { sim.timers.Add(sim.now+d, callback) }

// violate records a violation, unless an earlier one is recorded.
func (sim *catchUpSim) violate(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("%v: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

// runUntil runs the simulation until condition holds or the timeout passes. It returns the time taken and whether condition held.
func (sim *catchUpSim) runUntil(timeout time.Duration, condition func() bool) (time.Duration, bool) {
	startedAt := sim.now
	for !condition() {
		at, ok := sim.timers.NextDue()
		if !ok || at > startedAt+timeout || sim.violation != "" {
			sim.now = max(sim.now, min(startedAt+timeout, at))
			return sim.now - startedAt, false
		}
		sim.now = at
		callback, _ := sim.timers.PopDue(at)
		callback()
	}
	return sim.now - startedAt, true
}

func (sim *catchUpSim) runFor(d time.Duration) { sim.runUntil(d, func() bool { return false }) }

func simAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 7000)
}

// checkState checks that a replica's state is the same as that of every other replica at its index.
func (sim *catchUpSim) checkState(m *simReplica, s *replog.State) {
	if s.NextIndex == 0 {
		return
	}
	encoded := s.Encode()
	digest := sha256.Sum256(encoded)
	if sim.brokenRule == brokenSnapshot {
		sim.encodedStates[s.NextIndex] = encoded
	}
	if other, known := sim.stateDigests[s.NextIndex]; known && other != digest {
		sim.violate("the state of member %d differs from others at index %d", m.index, s.NextIndex)
	}
	sim.stateDigests[s.NextIndex], sim.maxIndex = digest, max(sim.maxIndex, s.NextIndex)
}

// pendingCall is a call without a response yet.
type pendingCall struct {
	from      *simReplica
	kind      rpc.Kind
	nextIndex uint64 // of a snapshot call: the caller's NextIndex
	respond   func(body []byte, err error)
}

// call sends a call over the network. Its response arrives, or the call times out.
func (sim *catchUpSim) call(m *simReplica, c replica.SendCall) {
	b := c.To.Addr().As4()
	to, incarnation, isDone := sim.replicas[b[3]-1], m.incarnation, false
	p := &pendingCall{from: m, kind: c.Kind}
	if c.Kind == rpc.KindSnapshot {
		sim.snapshotCalls++
		p.nextIndex, _, _ = replica.DecodeIndexed(c.Body) // the replica encoded it, so it decodes
	}
	p.respond = func(body []byte, err error) {
		if !isDone && m.incarnation == incarnation {
			isDone = true
			m.enqueue(replica.CallReturned{ID: c.ID, Body: body, Err: err})
		}
	}
	sim.after(c.Timeout, func() { p.respond(nil, errCallTimeout) })
	if !to.isUp {
		sim.after(time.Millisecond, func() { p.respond(nil, errCallTimeout) })
		return
	}
	sim.transfer(m, to, len(c.Body), func() {
		to.enqueue(replica.CallReceived{Kind: c.Kind, Body: c.Body, From: simAddr(m.index).Addr(), Request: to.calls.Add(p)})
	})
}

var errCallTimeout = errors.New("call timed out")

// transfer calls done when size bytes have arrived at the other machine. They queue behind the transfers in flight on both links.
func (sim *catchUpSim) transfer(from, to *simReplica, size int, done func()) {
	duration := time.Duration(float64(size+64) / sim.linkRate * float64(time.Second))
	from.outboundFreeAt = max(from.outboundFreeAt, sim.now) + duration
	to.inboundFreeAt = max(to.inboundFreeAt, from.outboundFreeAt-duration) + duration
	sim.after(max(from.outboundFreeAt, to.inboundFreeAt)-sim.now+500*time.Microsecond+time.Duration(sim.rnd.Int64N(int64(300*time.Microsecond))), done)
}

// decodeTime returns the time that a replica takes to decode a configuration.
func (sim *catchUpSim) decodeTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / sim.decodeRate * float64(time.Second))
}

// writeTime returns how long a write keeps a process busy: the disk's time, and the decoding of a chosen value.
func (sim *catchUpSim) writeTime(f *replica.Write, slowdown float64) time.Duration {
	size := len(f.Acceptor.Value)
	decode := time.Duration(0)
	switch {
	case f.Snapshot:
		size = len(f.State.Config)
	case f.Value != nil:
		size, decode = len(f.Value), sim.decodeTime(len(f.Value))
	}
	return time.Duration((1+slowdown)*(float64(sim.syncTime)+float64(size)/sim.diskRate*float64(time.Second))) + decode
}
