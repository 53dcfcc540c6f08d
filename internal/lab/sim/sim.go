// Package sim plays a fleet's data plane in simulated time: many routers, each the program's own broker with its decision
// module, before many engines as arithmetic (package model), driven by one seeded clock. Nothing in it reads a clock, opens a
// socket or uses more than one goroutine, so that a run with a seed has the same figures every time and anywhere. Beside the
// program's design it plays baselines that decide in its place, on the very same requests. It is lab code.
package sim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"notchhinge/internal/dialect"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/lab/model"
	"notchhinge/internal/limits"
	"notchhinge/policy"
)

// Options are a run's.
type Options struct {
	Variant string // one of Variants
	Seed    uint64
	Routers int
	Engines int
	Zones   int
	Load    float64       // of what the engines can serve with prompts kept, 0 to 1 and above
	Length  time.Duration // of the arrivals
	Crash   float64       // share of the engines that ends without a word in the middle; news of it takes up to News
	News    time.Duration
	Skew    float64 // exponent of the beginnings' popularity: 0 = all alike, 1 = a few have most
	Cold    bool    // engines have read nothing and are cold at the start
}

// Variants are what decides: the program's own design, and baselines.
var Variants = []string{"design", "random", "least", "two", "hash", "oracle"}

// Figures are what came of a run.
type Figures struct {
	Requests     int     `json:"asked"`
	WithinTarget float64 `json:"in_aim"`  // share with their first token within the aim
	Late         float64 `json:"late"`    // share with a first token after that
	Rejected     float64 `json:"refused"` // share
	Failed       float64 `json:"failed"`  // share
	P50          float64 `json:"p50_ms"`  // of first tokens
	P99          float64 `json:"p99_ms"`
	CachedShare  float64 `json:"kept"`    // share of the prompts' tokens that engines had read before
	Busiest      float64 `json:"busiest"` // requests at the busiest engine over the mean
	Attempts     float64 `json:"legs"`    // a request
	Steps        int     `json:"steps"`   // of engines
}

// The platform that is played.
const (
	aim      = 800 * time.Millisecond
	patience = 3200 * time.Millisecond // of clients, for a first token
	shared   = 2000                    // tokens of a prompt's beginning
	own      = 300                     // of the rest
	answer   = 100
	slots    = 16
	attempts = 2
	near     = 300 * time.Microsecond // one way within a zone
	far      = 900 * time.Microsecond // and between zones
	perS     = 8.0                    // requests a second that an engine serves with beginnings kept
)

// call is a client's request.
type call struct {
	id     uint64
	router int
	prefix int
	at     time.Duration
	first  time.Duration // 0 = none yet
	state  outcome
	tried  []int // engines, by a baseline
	legs   int
}

type outcome uint8

const (
	open outcome = iota
	served
	refused
	failed
)

// leg is an attempt at an engine.
type leg struct {
	c      *call
	id     dispatch.AttemptID
	engine int
	began  bool
	over   bool
}

type engine struct {
	*model.Engine
	zone    int
	dead    bool
	planned time.Duration // its step's end is in the queue for then
	legs    map[uint64]*leg
	came    int
	known   map[int]time.Duration // beginnings, and when they were last asked for: the oracle's
}

type router struct {
	zone  int
	b     *dispatch.Dispatcher
	tick  time.Duration // in the queue for then; 0 = none
	count []int         // a baseline's: own requests at each engine
	total int
	alive []bool // as the router knows
}

// event is something at a time. Of one time the order is that in which they were planned.
type event struct {
	at   time.Duration
	seq  uint64
	kind kind
	i    int // of an engine or a router
	leg  *leg
	call *call
	done bool
	kept int // tokens; of answers: gone if below 0 (a dropped leg, a connection that ended); of learns: the engine
}

type kind uint8

const (
	arrives kind = iota // a request, at its router
	reaches             // a leg, its engine
	steps               // an engine
	answers             // of an engine, at the router: the first token, or the end
	full                // an engine's word that it is, at the router
	ticks               // a router
	crashes             // an engine
	learns              // a router, of an engine's end
	gives               // a client up (baselines)
)

// In place of kept tokens: the leg was dropped, or its connection has ended.
const (
	dropped = -1
	ended   = -2
)

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// world is a run.
type world struct {
	Options
	rnd     *rand.Rand // of the requests: the same in every variant
	own     *rand.Rand // of decisions of baselines
	now     time.Duration
	seq     uint64
	queue   queue
	engines []*engine
	routers []*router
	calls   []*call
	byLeg   []map[dispatch.AttemptID]*leg // by router
	nextReq uint64
	zipf    []float64 // cumulative popularity of beginnings
	out     []model.Output
	kept    int
	prompt  int
	stepped int
	ring    []point
}

type point struct {
	hash   uint64
	engine int
}

// Run plays a run.
func Run(o Options) (Figures, error) {
	if !slices.Contains(Variants, o.Variant) || o.Routers < 1 || o.Engines < 2 || o.Zones < 1 || !(o.Load > 0) || o.Length <= 0 || o.Skew < 0 {
		return Figures{}, fmt.Errorf("sim: %+v: a variant of %v, routers, two engines, a zone, a load and a length are wanted", o, Variants)
	}
	w := &world{
		Options: o, rnd: rand.New(rand.NewPCG(o.Seed, 1)), own: rand.New(rand.NewPCG(o.Seed, 2)),
		now: time.Hour, // clocks of modules must not begin at 0
	}
	if err := w.build(); err != nil {
		return Figures{}, err
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = max(w.now, e.at)
		w.take(e)
	}
	return w.figures(), nil
}

func (w *world) plan(e event) {
	w.seq++
	e.seq = w.seq
	heap.Push(&w.queue, e)
}

// build makes engines, routers and requests.
func (w *world) build() error {
	p := model.Default(1)
	p.Slots, p.Queue = slots, 2*slots
	born := w.now - time.Hour + 1
	if w.Cold {
		born = w.now
	}
	for i := range w.Engines {
		w.engines = append(w.engines, &engine{Engine: model.New(p, born), zone: i % w.Zones, legs: map[uint64]*leg{}, known: map[int]time.Duration{}})
		for v := range 64 {
			w.ring = append(w.ring, point{mix(uint64(i)<<16|uint64(v), 7), i})
		}
	}
	slices.SortFunc(w.ring, func(a, b point) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	for i := range w.Routers {
		r := &router{zone: i % w.Zones, count: make([]int, w.Engines), alive: make([]bool, w.Engines)}
		for k := range r.alive {
			r.alive[k] = true
		}
		w.routers = append(w.routers, r)
		w.byLeg = append(w.byLeg, map[dispatch.AttemptID]*leg{})
		if w.Variant != "design" {
			continue
		}
		lim := limits.NewFleetRouter(limits.Machine{Cores: 1, MemoryMB: 284, Sockets: 1 << 16})
		r.b = dispatch.New(lim)
		class := policy.Class{Name: "chat", TargetLatency: aim, Deadline: 12 * time.Second, Value: 1, LateValue: 1, Effect: policy.EffectUnsafe, IsStreaming: true, MaxAttempts: attempts}
		m, err := policy.New(dialect.PolicySettings([]policy.Class{class}, limits.DrainGrace(3*time.Second), attempts), mix(w.Seed, uint64(i)+100))
		if err != nil {
			return fmt.Errorf("sim: %w", err)
		}
		w.reduce(i, dispatch.ConfigurePool{Pool: 1, Name: "s", Module: m, SlowStart: dialect.SlowStart, SlowStartInitial: dialect.SlowStartInitial, MaxAttempts: attempts, RetryAfter: time.Second})
		w.list(i)
	}
	beginnings := 2 * w.Engines
	sum := 0.0
	for i := range beginnings {
		sum += math.Pow(float64(i+1), -w.Skew)
		w.zipf = append(w.zipf, sum)
	}
	rate := w.Load * perS * float64(w.Engines)
	for at := w.now; ; {
		at += time.Duration(w.rnd.ExpFloat64() / rate * float64(time.Second))
		if at > w.now+w.Length {
			break
		}
		prefix, _ := slices.BinarySearch(w.zipf, w.rnd.Float64()*sum)
		c := &call{id: uint64(len(w.calls) + 1), router: w.rnd.IntN(w.Routers), prefix: min(prefix, beginnings-1), at: at}
		w.calls = append(w.calls, c)
		w.plan(event{at: at, kind: arrives, call: c})
	}
	for i := range int(w.Crash * float64(w.Engines)) {
		w.plan(event{at: w.now + w.Length/2, kind: crashes, i: i * 7 % w.Engines})
	}
	return nil
}

// mix hashes two numbers.
func mix(x, salt uint64) uint64 {
	x ^= salt * 0x9e3779b97f4a7c15
	for range 2 {
		x ^= x >> 31
		x *= 0xbf58476d1ce4e5b9
		x ^= x >> 27
		x *= 0x94d049bb133111eb
	}
	return max(x^x>>31, 1)
}

// list tells a router's module which engines there are.
func (w *world) list(i int) {
	l := dispatch.EndpointsListed{Pool: 1, Kind: policy.ListFull}
	for k := range w.engines {
		if w.routers[i].alive[k] {
			h := dispatch.Host{Name: fmt.Sprint("e", k), Addr: fmt.Sprint(k), Weight: 1}
			if w.Cold {
				h.StartedAt = time.Hour
			}
			l.Hosts = append(l.Hosts, h)
		}
	}
	w.reduce(i, l)
}

// delay is one way between a router and an engine.
func (w *world) delay(r, e int) time.Duration {
	if w.routers[r].zone == w.engines[e].zone {
		return near
	}
	return far
}

// reduce has a router's broker take an event, and does what follows.
func (w *world) reduce(i int, e dispatch.Event) {
	r := w.routers[i]
	// The effects are the broker's own until its next event.
	for _, f := range slices.Clone(r.b.Reduce(w.now, e)) {
		switch f := f.(type) {
		case dispatch.StartAttempt:
			c := f.Client.(*call)
			var k int
			_, _ = fmt.Sscan(f.Addr, &k) // written by this program
			l := &leg{c: c, id: f.Attempt, engine: k}
			c.legs++
			w.byLeg[i][f.Attempt] = l
			w.plan(event{at: w.now + w.delay(i, k), kind: reaches, leg: l})
		case dispatch.BindAttempt:
			if l := w.byLeg[i][f.Attempt]; l != nil && l.c.first == 0 {
				l.c.first = w.now
			}
		case dispatch.CancelAttempt:
			if l := w.byLeg[i][f.Attempt]; l != nil && !l.over {
				l.over = true
				w.cancel(l)
				w.plan(event{at: w.now, kind: answers, leg: l, done: true, kept: dropped})
			}
		case dispatch.Reject:
			c := f.Client.(*call)
			c.state = refused
			if f.MayHaveRun || f.Verdict == dispatch.VerdictFailed {
				c.state = failed
			}
		}
	}
	if at, ok := r.b.NextDue(); ok && (r.tick == 0 || at < r.tick) {
		r.tick = max(at, w.now)
		w.plan(event{at: r.tick, kind: ticks, i: i})
	}
}

func (w *world) cancel(l *leg) {
	e := w.engines[l.engine]
	for id, x := range e.legs {
		if x == l {
			delete(e.legs, id)
			e.Cancel(id)
		}
	}
}

func (w *world) take(e event) {
	switch e.kind {
	case arrives:
		w.arrived(e.call)
	case reaches:
		w.reached(e.leg)
	case steps:
		g := w.engines[e.i]
		if g.planned == e.at {
			g.planned = 0
			w.stepped++
			w.step(e.i)
		}
	case answers:
		w.answered(e)
	case full:
		w.rejected(e.leg)
	case ticks:
		r := w.routers[e.i]
		if r.tick == e.at {
			r.tick = 0
			w.reduce(e.i, dispatch.Tick{})
		}
	case crashes:
		w.crashed(e.i)
	case learns:
		w.routers[e.i].alive[e.kept] = false
		if w.Variant == "design" {
			w.list(e.i)
		}
	case gives:
		if c := e.call; c.state == open && c.first == 0 {
			c.state = failed
		}
	}
}

// arrived has a call come to its router.
func (w *world) arrived(c *call) {
	if w.Variant == "design" {
		salt := mix(w.Seed, uint64(c.router)+1000)
		w.reduce(c.router, dispatch.RequestReceived{Client: c, Pool: 1, ReceivedAt: w.now, MaxAttempts: attempts, Request: policy.Request{
			Session: mix(uint64(c.prefix)+1, salt), Prefix: mix(uint64(c.prefix)+1, 5), Timeout: patience,
		}})
		return
	}
	w.plan(event{at: w.now + patience, kind: gives, call: c})
	w.choose(c)
}

// rejected has an engine's answer that it is full come to the router.
func (w *world) rejected(l *leg) {
	if l.over {
		return
	}
	l.over = true
	if w.Variant == "design" {
		w.over(l, policy.ResultFull, 0)
		return
	}
	w.leave(l)
	w.choose(l.c)
}

// crashed ends an engine and what runs on it; each router learns of it on its own.
func (w *world) crashed(n int) {
	g := w.engines[n]
	g.dead = true
	for i := range w.routers {
		w.plan(event{at: w.now + time.Duration(w.own.Float64()*float64(w.News)), kind: learns, i: i, done: true, kept: n})
	}
	ids := make([]uint64, 0, len(g.legs))
	for id := range g.legs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids { // its connections end with it
		w.reset(g.legs[id])
	}
}

// reached has a leg come to its engine.
func (w *world) reached(l *leg) {
	g := w.engines[l.engine]
	back := w.now + w.delay(l.c.router, l.engine)
	switch {
	case l.over:
	case g.dead:
		w.reset(l)
	default:
		g.came++
		w.nextReq++
		ok := g.Arrive(w.now, model.Request{
			ID: w.nextReq, Prefix: mix(uint64(l.c.prefix)+1, 5), Prompt: shared + own, PrefixTokens: shared, Answer: answer,
		})
		if !ok {
			w.plan(event{at: back, kind: full, leg: l})
			return
		}
		g.legs[w.nextReq] = l
		w.step(l.engine)
	}
}

// reset tells a router that a leg's connection has ended: before anything was written, if its engine was gone by then.
func (w *world) reset(l *leg) {
	if l.over {
		return
	}
	w.plan(event{at: w.now + w.delay(l.c.router, l.engine), kind: answers, leg: l, done: true, kept: ended})
}

// step has an engine do what is due, and plans its next step.
func (w *world) step(i int) {
	g := w.engines[i]
	if g.dead {
		return
	}
	w.out = g.Advance(w.now, w.out[:0])
	for _, o := range w.out {
		l := g.legs[o.ID]
		if l == nil {
			continue
		}
		at := w.now + w.delay(l.c.router, i)
		if o.First == 0 {
			w.kept += o.CachedTokens
			w.prompt += shared + own
			w.plan(event{at: at, kind: answers, leg: l})
		}
		if o.Done {
			delete(g.legs, o.ID)
			w.plan(event{at: at, kind: answers, leg: l, done: true, kept: o.CachedTokens})
		}
	}
	if at, ok := g.Next(); ok && at != g.planned {
		g.planned = at
		w.plan(event{at: at, kind: steps, i: i})
	}
}

// answered has an engine's word come to the router.
func (w *world) answered(e event) {
	if w.Variant == "design" {
		w.answeredDesign(e)
	} else {
		w.answeredBaseline(e)
	}
}

// answeredDesign is answered where the design's reducer decides.
func (w *world) answeredDesign(e event) {
	l := e.leg
	switch {
	case e.kept == dropped:
		w.over(l, policy.ResultCancelled, 0)
	case l.over:
	case e.kept == ended:
		l.over = true
		r := policy.ResultReset
		if !w.written(l) {
			r = policy.ResultConnectFailed
		}
		w.over(l, r, 0)
	case !e.done:
		l.began = true
		w.reduce(l.c.router, dispatch.AttemptStarted{Attempt: l.id})
	default:
		l.over = true
		w.over(l, policy.ResultOK, e.kept)
		l.c.state = served
	}
}

// answeredBaseline is answered where a baseline decides.
func (w *world) answeredBaseline(e event) {
	l := e.leg
	c := l.c
	switch {
	case l.over:
	case e.kept == ended:
		l.over = true
		w.leave(l)
		if w.written(l) || c.first != 0 {
			c.state = failed
			return
		}
		w.choose(c)
	case !e.done:
		if c.first == 0 && c.state == open {
			c.first = w.now
		}
	default:
		l.over = true
		w.leave(l)
		if c.state == open {
			c.state = served
		}
	}
}

// written tells whether a leg had come to its engine.
func (w *world) written(l *leg) bool {
	for _, x := range w.engines[l.engine].legs {
		if x == l {
			return true
		}
	}
	return false
}

func (w *world) over(l *leg, r policy.Result, kept int) {
	delete(w.byLeg[l.c.router], l.id)
	w.reduce(l.c.router, dispatch.AttemptEnded{Attempt: l.id, Result: r, CachedTokens: float64(kept)})
}

// figures adds up.
func (w *world) figures() Figures {
	f := Figures{Requests: len(w.calls), Steps: w.stepped}
	var firsts []float64
	n := float64(len(w.calls))
	legs := 0
	for _, c := range w.calls {
		legs += c.legs
		switch {
		case c.state == refused:
			f.Rejected += 1 / n
		case c.state != served:
			f.Failed += 1 / n
		default:
			took := c.first - c.at
			firsts = append(firsts, took.Seconds()*1000)
			if took <= aim {
				f.WithinTarget += 1 / n
			} else {
				f.Late += 1 / n
			}
		}
	}
	slices.Sort(firsts)
	if k := len(firsts); k > 0 {
		f.P50, f.P99 = firsts[k/2], firsts[min(k*99/100, k-1)]
	}
	f.CachedShare = float64(w.kept) / max(float64(w.prompt), 1)
	f.Attempts = float64(legs) / n
	most, sum := 0, 0
	for _, e := range w.engines {
		most, sum = max(most, e.came), sum+e.came
	}
	f.Busiest = float64(most) * float64(len(w.engines)) / max(float64(sum), 1)
	return f
}
