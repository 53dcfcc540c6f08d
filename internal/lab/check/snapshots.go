package check

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/util"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/paxos"
	keeper "notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/storage"
	"notchhinge/internal/limits"
	"notchhinge/internal/timerqueue"
)

// storm is keepers, each the program's own core.Node with its own store on a disk of ours, while one operator changes the
// configuration many times a second. Links and disks take their time for what is large, a process does one thing at a time,
// and members are away for as many changes as is wanted, come back with or without their disks, and are killed as they catch
// up. It is in simulated time and is given its seed.
type storm struct {
	stormOf
	rnd     *rand.Rand
	now     time.Duration
	due     *timerqueue.Queue[func()]
	keepers []*voter
	states  map[uint64][sha256.Size]byte // by the next place: what the chain adds up to
	texts   map[uint64][]byte            // these states, where a rule is broken that wants them
	head    uint64                       // the furthest that any has come
	acked   uint64                       // revision
	goal    uint64                       // changes are made up to this revision
	last    int                          // where the operator was answered last
	wrong   string                       // the first broken rule; "" = none
	asks    int                          // for a state
	slowest time.Duration                // of a change
	took    time.Duration                // the longest that a member took to be back
	noise   []byte
	garble  func(state []byte) []byte // what becomes of a state on its way
}

// stormOf is what a storm is played with.
type stormOf struct {
	members  int
	spares   int           // machines that were none of the founders, and are not started
	filling  int           // bytes of a configuration beside its routes
	routes   int           // of a configuration
	gap      time.Duration // between changes, at the least
	link     float64       // bytes a second into and out of a machine
	sync     time.Duration // of a disk
	disk     float64       // bytes a second to it
	decoding float64       // bytes of a configuration that a keeper reads in a second
	turns    bool          // the operator turns to each in its turn, not to the one that answered last
	breaks   string        // a rule that is broken on purpose; "" = none
}

// The rules that are broken on purpose.
const (
	breaksBatch    = "the state and the places in it go in two writes"
	breaksOrder    = "it votes upon a state that its disk does not have"
	breaksStep     = "a place at a time is taken from another"
	breaksPatience = "calls are taken however long they have waited"
	breaksReads    = "reads are answered from what is known here"
)

// small and large are storms of 14 changes a second on three members of 120 Mbit/s, with disks as the control sites have
// them; configurations are of a few bytes, or of 262 kB.
func small() stormOf {
	return stormOf{members: 3, gap: time.Second / 14, link: 15e6, sync: 2 * time.Millisecond, disk: 250e6, decoding: 20e6}
}

func large() stormOf {
	s := small()
	s.filling = 262_000
	return s
}

// scaled is large with all sizes and speeds a thirteenth, so that it takes as long and needs less memory.
func scaled() stormOf {
	s := large()
	const by = 13
	s.filling /= by
	s.link, s.disk, s.decoding = s.link/by, s.disk/by, s.decoding/by
	return s
}

// voter is a machine of a storm.
type voter struct {
	w       *storm
	i       int
	disk    *disk
	store   *storage.Store
	node    *keeper.Replica
	up      bool
	life    int
	busy    bool
	shut    bool
	queue   []waiting
	wakeAt  time.Duration
	out, in time.Duration       // its link is free from then on
	next    uint64              // acknowledged by its disk
	vote    paxos.AcceptorState // the newest that its disk has acknowledged
	id      uint64
	most    int     // events that waited at once
	slow    float64 // its disk takes so many times longer

	// What waits for the effects that answer events of this life.
	calls   keeper.Pending[*calling]
	answers keeper.Pending[func(api.Result)]
}

func newStorm(of stormOf, seed uint64) *storm {
	w := &storm{
		stormOf: of, rnd: rand.New(rand.NewPCG(seed, 33)), due: timerqueue.New[func()](), states: map[uint64][sha256.Size]byte{},
		texts: map[uint64][]byte{}, garble: func(b []byte) []byte { return b },
	}
	for i := range of.members + of.spares {
		w.keepers = append(w.keepers, &voter{w: w, i: i, disk: newDisk()})
	}
	w.noise = make([]byte, of.filling) // which no database makes smaller
	for i := range w.noise {
		w.noise[i] = byte(w.rnd.Uint32())
	}
	for _, m := range w.keepers[:of.members] {
		m.start()
	}
	w.until(10*time.Second, func() bool { return w.head > 0 })
	return w
}

// in has something done after a time.
func (w *storm) in(d time.Duration, do func()) { w.due.Add(w.now+d, do) }

// breaksRule notes a broken rule.
func (w *storm) breaksRule(says string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(says, args...)
	}
}

// until plays until something is so, for some time at the most, and tells how long it took; false = it never was.
func (w *storm) until(most time.Duration, so func() bool) (time.Duration, bool) {
	began := w.now
	for !so() {
		at, ok := w.due.NextDue()
		if !ok || at > began+most || w.wrong != "" {
			w.now = max(w.now, min(began+most, at))
			return w.now - began, false
		}
		w.now = at
		do, _ := w.due.PopDue(at)
		do()
	}
	return w.now - began, true
}

func (w *storm) play(d time.Duration) { w.until(d, func() bool { return false }) }

func stormAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 7000)
}

// start starts a process with what its disk holds.
func (m *voter) start() {
	w := m.w
	id := w.rnd.Uint64() | 1
	s, kept, err := storage.OpenFiles(m.disk.open, storage.Identity{ID: id, IsFounder: w.head == 0})
	if err != nil {
		if m.disk.hasFailed() && errors.Is(m.disk.fault(), syscall.ENOSPC) { // the platform starts it again
			w.in(100*time.Millisecond, func() {
				if !m.up {
					m.start()
				}
			})
		} else if !m.disk.hasLostPower() {
			w.breaksRule("member %d does not open its disk: %v", m.i, err)
		}
		m.die(true)
		return
	}
	if m.id != kept.ID {
		m.id, m.next, m.vote = kept.ID, 0, paxos.AcceptorState{}
	}
	if v := &kept.Acceptor; kept.State.NextIndex < m.next || cmp.Or(cmp.Compare(v.Index, m.vote.Index), v.Promised.Compare(m.vote.Promised),
		v.Accepted.Compare(m.vote.Accepted)) < 0 {
		w.breaksRule("member %d has state %d and vote %+v on its disk, which had acknowledged %d and %+v", m.i, kept.State.NextIndex, v, m.next, m.vote)
	}
	w.knows(m, &kept.State)
	m.store, m.up, m.busy, m.shut, m.queue, m.wakeAt = s, true, false, false, nil, 0
	m.calls, m.answers = keeper.Pending[*calling]{}, keeper.Pending[func(api.Result)]{}
	m.life++
	m.node = keeper.New(keeper.Config{
		Self: replog.Member{ID: kept.ID, Name: fmt.Sprintf("k%d", m.i), Addr: stormAddr(m.i).String()}, IsFounder: kept.IsFounder, MinVoters: w.members,
		Incarnation: w.rnd.Uint64(), Seed: w.rnd.Uint64(), State: kept.State, Acceptor: kept.Acceptor, ChosenValue: s.ChosenValue,
		Peers: func() (all []netip.AddrPort) {
			for i := range w.keepers {
				if i != m.i {
					all = append(all, stormAddr(i))
				}
			}
			return all
		},
	})
	m.take(keeper.Tick{})
}

// die ends a process; with power what its disk had not synced is gone or torn.
func (m *voter) die(power bool) {
	left := keepAll
	if power {
		left = m.w.rnd.IntN(lossKinds)
	}
	next := m.disk.afterPowerLoss(left, m.w.rnd.Uint64())
	if m.store != nil {
		_ = m.store.Close() // the disk tells what is kept
	}
	m.store, m.disk, m.up, m.busy, m.queue = nil, next, false, false, nil
	m.life++
}

// knows holds a state against what the chain adds up to.
func (w *storm) knows(m *voter, s *replog.State) {
	if s.NextIndex == 0 {
		return
	}
	text := s.Encode()
	is := sha256.Sum256(text)
	if w.breaks == breaksStep {
		w.texts[s.NextIndex] = text
	}
	if was, known := w.states[s.NextIndex]; known && was != is {
		w.breaksRule("member %d has another state before place %d than others", m.i, s.NextIndex)
	}
	w.states[s.NextIndex], w.head = is, max(w.head, s.NextIndex)
}

// take has a process take an event once it is free.
func (m *voter) take(e keeper.Event) {
	if m.up {
		m.queue = append(m.queue, waiting{e, m.w.now})
		m.most = max(m.most, len(m.queue))
		m.work()
	}
}

// waiting is an event that waits until the process is free.
type waiting struct {
	keeper.Event
	since time.Duration
}

// work takes the events that wait, one at a time, but for calls whose callers wait no more.
func (m *voter) work() {
	for m.up && !m.busy && len(m.queue) > 0 {
		e, since := m.queue[0].Event, m.queue[0].since
		m.queue = m.queue[1:]
		switch x := e.(type) {
		case keeper.CallReceived:
			if m.w.now-since > keeper.CallTimeout(x.Kind) && m.w.breaks != breaksPatience {
				if c, ok := m.calls.Take(x.Request); ok {
					c.back(nil, errLate)
				}
				continue
			}
			m.reduce(e)
		case keeper.ReplaceConfig:
			m.works(m.w.reading(len(x.Config)), func() { m.reduce(e) })
		case keeper.ReadConfig:
			if m.w.breaks == breaksReads {
				s := m.node.State()
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
	m.plan()
}

// works has a process do nothing else for a time.
func (m *voter) works(d time.Duration, then func()) {
	life := m.life
	m.busy = true
	m.w.in(d, func() {
		if m.life == life {
			m.busy = false
			then()
			m.work()
		}
	})
}

func (m *voter) reduce(e keeper.Event) {
	m.perform(append([]keeper.Effect(nil), m.node.Reduce(m.w.now, e)...))
}

// plan has the process woken when it wants to be.
func (m *voter) plan() {
	if !m.up || m.busy {
		return
	}
	at, ok := m.node.NextTimer()
	if at = max(at, m.w.now+time.Millisecond); !ok || m.wakeAt > m.w.now && m.wakeAt <= at {
		return
	}
	m.wakeAt = at
	life := m.life
	m.w.in(at-m.w.now, func() {
		if m.life == life && m.wakeAt == at {
			m.wakeAt = 0
			m.take(keeper.Tick{})
		}
	})
}

// perform does what the node asks for, in order.
func (m *voter) perform(effects []keeper.Effect) {
	w := m.w
	for len(effects) > 0 {
		f := effects[0]
		effects = effects[1:]
		switch f := f.(type) {
		case keeper.Write:
			rest := effects
			m.works(w.costs(&f, m.slow), func() {
				ok := m.write(&f)
				if m.up {
					m.perform(append(rest, m.node.Reduce(w.now, keeper.WriteDone{ID: f.ID, Durable: ok})...))
				}
			})
			return
		case keeper.SendCall:
			w.call(m, f)
		case keeper.SendReply:
			c, ok := m.calls.Take(f.Request)
			if !ok {
				continue
			}
			body := f.Body
			if c.kind == keeper.CallSnapshot && len(body) > 0 {
				if body = w.garble(body); w.breaks == breaksStep {
					body = w.texts[c.place+1]
				}
			}
			w.carry(m, c.from, len(body), func() { c.back(body, f.Err) })
		case keeper.OperatorAnswer:
			if answer, ok := m.answers.Take(f.Request); ok {
				answer(f.Result)
			}
		case keeper.StateChanged:
			w.knows(m, &f.State)
		}
	}
}

// reading is how long a keeper reads a configuration of so many bytes.
func (w *storm) reading(size int) time.Duration {
	return time.Duration(float64(size) / w.decoding * float64(time.Second))
}

// costs is how long a write keeps a process: its disk's time, and what is chosen is read as well.
func (w *storm) costs(f *keeper.Write, slow float64) time.Duration {
	size := len(f.Acceptor.Value)
	read := time.Duration(0)
	switch {
	case f.Snapshot:
		size = len(f.State.Config)
	case f.Value != nil:
		size, read = len(f.Value), w.reading(len(f.Value))
	}
	return time.Duration((1+slow)*(float64(w.sync)+float64(size)/w.disk*float64(time.Second))) + read
}

// write writes to the disk, as a keeper does: after a refused write it is opened anew, and told all that stands first.
func (m *voter) write(f *keeper.Write) bool {
	err := error(nil)
	state := m.node.State()
	if m.shut {
		if err = m.store.Reopen(); err == nil {
			err = m.store.SaveSnapshot(&state)
		}
		if err == nil {
			err = m.store.SaveAcceptor(m.node.AcceptorState())
		}
	}
	switch {
	case err != nil:
	case f.Snapshot && m.w.breaks == breaksOrder:
	case f.Snapshot && m.w.breaks == breaksBatch:
		err = m.twice(f.State)
	case f.Snapshot:
		err = m.store.SaveSnapshot(f.State)
	case f.Value != nil:
		err = m.store.AppendChosen(f.Value, f.State)
	default:
		err = m.store.SaveAcceptor(f.Acceptor)
	}
	if m.disk.hasLostPower() {
		m.die(true)
		return false
	}
	if m.shut = err != nil; m.shut {
		return false
	}
	if f.Snapshot || f.Value != nil {
		m.next = max(m.next, f.State.NextIndex)
	} else {
		m.vote = f.Acceptor
	}
	return true
}

// twice breaks a rule: the places go, and then the state is written.
func (m *voter) twice(s *replog.State) error {
	_ = m.store.Close() // the disk tells what is kept
	files, err := m.disk.open()
	if err != nil {
		return err
	}
	db, err := leveldb.Open(files, nil)
	if err != nil {
		return err
	}
	it := db.NewIterator(util.BytesPrefix([]byte("place/")), nil)
	gone := new(leveldb.Batch)
	for it.Next() {
		gone.Delete(bytes.Clone(it.Key()))
	}
	it.Release()
	err = db.Write(gone, &opt.WriteOptions{Sync: true})
	if err == nil {
		err = db.Put([]byte("state"), s.Encode(), &opt.WriteOptions{Sync: true})
	}
	_ = db.Close() // the disk tells what is kept
	return errors.Join(err, m.store.Reopen())
}

// calling is a call that waits for its answer.
type calling struct {
	from  *voter
	kind  keeper.CallKind
	place uint64 // with CallState: the first that is lacking
	back  func(body []byte, err error)
}

// carry brings bytes from one machine to another, behind what their links have to carry already.
func (w *storm) carry(from, to *voter, size int, do func()) {
	took := time.Duration(float64(size+64) / w.link * float64(time.Second))
	from.out = max(from.out, w.now) + took
	to.in = max(to.in, from.out-took) + took
	w.in(max(from.out, to.in)-w.now+500*time.Microsecond+time.Duration(w.rnd.Int64N(int64(300*time.Microsecond))), do)
}

// call carries a call, whose answer comes back or does not in its time.
func (w *storm) call(m *voter, c keeper.SendCall) {
	b := c.To.Addr().As4()
	to, life, over := w.keepers[b[3]-1], m.life, false
	of := &calling{from: m, kind: c.Kind}
	if c.Kind == keeper.CallSnapshot {
		w.asks++
		of.place, _, _ = keeper.DecodeIndexed(c.Body) // it is the node's own
	}
	of.back = func(body []byte, err error) {
		if !over && m.life == life {
			over = true
			m.take(keeper.CallReturned{ID: c.ID, Body: body, Err: err})
		}
	}
	w.in(c.Timeout, func() { of.back(nil, errLate) })
	if !to.up {
		w.in(time.Millisecond, func() { of.back(nil, errLate) })
		return
	}
	w.carry(m, to, len(c.Body), func() {
		to.take(keeper.CallReceived{Kind: c.Kind, Body: c.Body, From: stormAddr(m.i).Addr(), Request: to.calls.Add(of)})
	})
}

var errLate = errors.New("no answer in time")

// text is a configuration of a revision.
func (w *storm) text(revision uint64) []byte {
	c := map[string]any{"revision": revision, "services": []fleetconfig.Service{{Name: "s"}}, "later": w.noise}
	routes := make([]fleetconfig.Route, w.routes)
	for i := range routes {
		routes[i] = fleetconfig.Route{
			Name: fmt.Sprintf("route-%05d", i), Hostname: "a.example", PathPrefix: fmt.Sprintf("/p%05d/", i), Type: fleetconfig.RouteStreaming,
			TimeoutMS: 12000, TargetService: "s", MaxAttempts: 2,
		}
	}
	c["routes"] = routes
	b, err := cbor.Marshal(c)
	if err != nil {
		w.breaksRule("%v", err)
	}
	return b
}

// firstRevision has as many bytes as all after it.
const firstRevision = 70_000

// change has the operator make the next change, and then others until the goal is reached.
func (w *storm) change() {
	if w.acked >= w.goal {
		w.in(w.gap, w.change)
		return
	}
	revision, on, began := max(w.acked+1, firstRevision), w.acked, w.now
	text := w.text(revision)
	over := false
	var send func(at int)
	send = func(at int) {
		m := w.keepers[at%w.members]
		answered := false
		next := func(d time.Duration) {
			if !answered && !over {
				answered = true
				w.in(d, func() { send(at + 1) })
			}
		}
		if !m.up {
			next(5 * time.Millisecond)
			return
		}
		w.in(time.Second, func() { next(0) })
		m.take(keeper.ReplaceConfig{BaseRevision: on, Config: text, Deadline: w.now + 900*time.Millisecond, Request: m.answers.Add(func(r api.Result) {
			switch {
			case over:
			case r.Status == 200:
				over, w.acked, w.last = true, revision, at
				w.slowest = max(w.slowest, w.now-began)
				w.in(max(began+w.gap-w.now, time.Millisecond), w.change)
			case r.Status == 503:
				next(20 * time.Millisecond)
			default:
				w.breaksRule("change %d upon %d is answered %d: %s", revision, on, r.Status, r.Message)
			}
		})})
	}
	if w.turns {
		w.last++
	}
	send(w.last)
}

// read has the operator read the configuration at a member, until it is told.
func (w *storm) read(m *voter, then func()) {
	least, life := w.acked, m.life
	m.take(keeper.ReadConfig{Deadline: w.now + 900*time.Millisecond, Request: m.answers.Add(func(r api.Result) {
		switch {
		case r.Status == 200 && r.Revision < least:
			w.breaksRule("member %d reads version %d, and %d was acknowledged before", m.i, r.Revision, least)
		case r.Status == 200:
			then()
		case m.life == life:
			w.in(50*time.Millisecond, func() { w.read(m, then) })
		}
	})})
}

// catchUpWithin is the time that the platform gives a member that is back (catch_up_s of the control sites).
const catchUpWithin = 4 * time.Second

// begun is a storm in which a few changes were made.
func begun(of stormOf, seed uint64) *storm {
	w := newStorm(of, seed)
	w.change()
	w.changes(3)
	return w
}

// changes has some more made, without an end to wait for if there are none.
func (w *storm) changes(n uint64) {
	if w.goal = max(w.acked, firstRevision-1) + n; n == 0 {
		w.goal = 1 << 30
		return
	}
	most := time.Duration(n) * time.Second
	if _, ok := w.until(most, func() bool { return w.acked >= w.goal }); !ok {
		w.breaksRule("%d changes are not made in %v: %d is acknowledged", n, most, w.acked)
	}
}

// back has a member come back that was away, while changes go on, and asks for the newest configuration there at once. Within
// its time it must know all that was chosen before it came, be a member, and have answered as it must.
func (w *storm) back(m *voter) {
	before, read := w.head, false
	w.changes(0)
	if m.start(); !m.up {
		return
	}
	w.read(m, func() { read = true })
	took, ok := w.until(catchUpWithin, func() bool {
		s := m.node.State()
		return !m.up || read && s.NextIndex >= before && s.Member(m.id) != nil
	})
	if w.took = max(w.took, took); !ok {
		s := m.node.State()
		w.breaksRule("member %d has not caught up in %v: place %d of %d, read %v, member %v", m.i, took, s.NextIndex, w.head, read, s.Member(m.id) != nil)
	}
}

// away is a member that is away for so many changes and comes back with its disk, another time without, and then never, with
// a machine of another name and address in its place. It takes the longest time that any has taken to be a member again that
// has caught up.
func away(of stormOf, n uint64, seed uint64) *storm {
	of.spares = 1
	w := begun(of, seed)
	m := w.keepers[of.members-1]
	for _, how := range []string{"back", "wiped", "replaced"} {
		m.die(true)
		if w.changes(n); how == "wiped" {
			m.disk = m.disk.emptied()
		}
		if how == "replaced" { // a voter's place is free only once it has been silent for so long
			m = w.keepers[of.members]
			w.changes(0)
			w.play(limits.VoterReplaceDelay + limits.VoterCheckInterval)
		}
		w.play(time.Duration(w.rnd.Int64N(int64(of.gap))))
		w.back(m)
	}
	w.changes(3)
	return w
}

// torn is a member that loses power at every step of its disk from its start on, as it catches up, each time after more changes
// than there are places kept. Each third time its disk is gone afterwards. It returns at how many steps that was.
func torn(of stormOf, stride int, seed uint64) (w *storm, points int) {
	w = begun(of, seed)
	m := w.keepers[of.members-1]
	for at := 1; w.wrong == ""; at += stride {
		m.die(true)
		w.changes(40)
		m.disk.failFrom(at, 0, errPowerLost)
		w.back(m)
		if m.up && !m.disk.hasLostPower() { // it had caught up before
			return w, points
		}
		if points++; m.up {
			m.die(true)
		}
		if at%3 == 0 {
			m.disk = m.disk.emptied()
		}
		w.back(m)
	}
	return w, points
}

// refusing is a member whose disk is full for some steps from any step on, as it catches up. It returns at how many steps that was.
func refusing(of stormOf, stride int, seed uint64) (w *storm, points int) {
	w = begun(of, seed)
	m := w.keepers[of.members-1]
	for at := 1; w.wrong == ""; at += stride {
		m.die(true)
		w.changes(40)
		m.disk.failFrom(at, 1+at%5, syscall.ENOSPC)
		w.back(m)
		if !m.up { // it could not be started at once
			if _, ok := w.until(catchUpWithin, func() bool { return m.up && m.node.State().NextIndex+limits.MaxJoinLag > w.head }); !ok {
				w.breaksRule("member %d is not back after its disk was full", m.i)
			}
		}
		if m.disk.isFailurePending() {
			return w, points
		}
		points++
	}
	return w, points
}

// stale is a member that is given old states, and such as are cut off anywhere, each time that it comes back; then good ones.
func stale(of stormOf, times int, seed uint64) *storm {
	w := begun(of, seed)
	m := w.keepers[of.members-1]
	var old [][]byte
	for range times {
		m.die(true)
		w.changes(40)
		w.changes(0)
		w.garble = func(b []byte) []byte {
			old = append(old, b)
			if w.rnd.IntN(2) == 0 {
				return old[w.rnd.IntN(len(old))]
			}
			return b[:w.rnd.IntN(len(b))]
		}
		if m.start(); !m.up {
			return w
		}
		w.play(500 * time.Millisecond)
		w.garble = func(b []byte) []byte { return b }
		m.die(false)
		w.back(m)
	}
	return w
}

// slowed is a member whose disk and processor take 25 times as long when it comes back, for some seconds, with which then a
// majority is to be made up. Nothing may pile up there, and changes must be made within the time that the platform gives them.
func slowed(of stormOf, seed uint64) *storm {
	const (
		most       = 64 // events that wait
		lacks      = limits.MaxJoinLag
		ackWithin  = 5 * time.Second // ack_ms of the control sites
		downWithin = 500 * time.Millisecond
	)
	w := begun(of, seed)
	m := w.keepers[of.members-1]
	m.die(true)
	w.changes(3)
	m.slow = 24
	w.back(m)
	for range 12 {
		w.play(500 * time.Millisecond)
		if s := m.node.State(); s.NextIndex+lacks < w.head || len(m.queue) > most {
			w.breaksRule("slow member %d lacks %d places, and %d events wait there", m.i, w.head-s.NextIndex, len(m.queue))
		}
	}
	m.slow = 0
	head := w.head
	if took, ok := w.until(downWithin, func() bool { return m.node.State().NextIndex >= head }); !ok {
		w.breaksRule("member %d is not back %v after its disk was slow", m.i, took)
	}
	m.slow = 24
	w.play(time.Second)
	w.keepers[0].die(true)
	acked := w.acked
	if took, ok := w.until(ackWithin, func() bool { return w.acked > acked }); !ok {
		w.breaksRule("no change in %v after member 0 is lost", took)
	}
	return w
}

// snapshots walks through members that are away and come back; from so many lives on at full size.
func snapshots(lives int) (found string, met int) {
	of, n := large(), uint64(40)
	if of.filling = 262_000; lives >= 20_000 {
		of.filling, of.routes, n = 0, 1280, 1000 // 261 kB that are read route by route
	}
	w := away(of, n, 1)
	for seed := uint64(1); w.wrong == "" && seed <= max(n/100, 1); seed++ {
		w = slowed(scaled(), seed)
	}
	return w.wrong, int(n)
}

// snapshotsTorn walks through power losses as members catch up, and through states that are old or torn on their way.
func snapshotsTorn(lives int) (found string, met int) {
	for seed := range uint64(max(lives/1000, 1)) {
		of := small()
		if seed%8 == 7 {
			of = large()
		}
		w, points := torn(of, 1, seed)
		if met += points; w.wrong == "" {
			w = stale(small(), 5, seed)
		}
		if w.wrong == "" {
			w, points = refusing(small(), 1, seed)
			met += points
		}
		if w.wrong != "" {
			return fmt.Sprintf("seed %d: %s", seed, w.wrong), met
		}
	}
	return "", met
}

// snapshotsBroken are the same with a rule broken, which must be found.
func snapshotsBroken(rule string, lives int) (found string, met int) {
	of := small()
	if of.breaks = rule; rule == breaksPatience {
		of = scaled()
		of.breaks = rule
		return slowed(of, 1).wrong, 1
	}
	for seed := range uint64(lives) {
		w, points := torn(of, 1, seed)
		if met += points; w.wrong != "" {
			return w.wrong, met
		}
	}
	return "", met
}
