// Package sim simulates the data plane of a fleet in simulated time: many routers, each running the dispatcher and the
// decision module of the program, in front of many engines (package model), all driven by one seeded clock. A run reads no
// clock, opens no socket and uses one goroutine, so that a seed always gives the same figures. Besides the design of the
// program it runs baselines that make the decisions instead, on the same requests. It is lab code.
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

// Options configures a run.
type Options struct {
	Variant string // one of Variants
	Seed    uint64
	Routers int
	Engines int
	Zones   int
	Load    float64       // arrival rate as a share of what the engines can serve with cached prefixes; may exceed 1
	Length  time.Duration // duration of the arrivals
	Crash   float64       // share of the engines that crash halfway through the arrivals
	News    time.Duration // maximum delay until a router learns of a crash
	Skew    float64       // exponent of the Zipf distribution of prefixes: 0 = uniform
	Cold    bool          // engines start with the run and warm up during it, instead of being warm
}

// Variants lists what can choose the engine of a request: the design of the program ("design") and the baselines.
var Variants = []string{"design", "random", "least", "two", "hash", "oracle"}

// Figures are the results of a run.
type Figures struct {
	Requests     int     `json:"asked"`
	WithinTarget float64 `json:"in_aim"`  // share of requests with the first token within the target latency
	Late         float64 `json:"late"`    // share of requests with a later first token
	Rejected     float64 `json:"refused"` // share of requests that a router rejected
	Failed       float64 `json:"failed"`  // share of requests that failed after an attempt
	P50          float64 `json:"p50_ms"`  // time to first token of served requests
	P99          float64 `json:"p99_ms"`
	CachedShare  float64 `json:"kept"`    // share of prompt tokens found in prefix caches
	Busiest      float64 `json:"busiest"` // attempts at the busiest engine, relative to the mean
	Attempts     float64 `json:"legs"`    // mean number per request
	Steps        int     `json:"steps"`   // steps of all engines
}

// Parameters of the simulated platform.
const (
	targetLatency     = 800 * time.Millisecond
	clientTimeout     = 3200 * time.Millisecond // how long a client waits for the first token
	prefixTokens      = 2000                    // tokens of the shared prefix of a prompt
	suffixTokens      = 300                     // tokens of the rest of a prompt
	answerTokens      = 100
	engineSlots       = 16
	maxAttempts       = 2
	sameZoneDelay     = 300 * time.Microsecond // one way within a zone
	crossZoneDelay    = 900 * time.Microsecond // one way between zones
	requestsPerSecond = 8.0                    // requests per second that an engine serves with cached prefixes
)

// request is a client's request.
type request struct {
	id           uint64
	router       int
	prefix       int
	arrivedAt    time.Duration
	firstTokenAt time.Duration // 0 = no token yet
	state        outcome
	tried        []int // engines that a baseline has tried
	attempts     int
}

type outcome uint8

const (
	pending outcome = iota
	served
	rejected
	failed
)

// attempt is an attempt of a request at an engine.
type attempt struct {
	request *request
	id      dispatch.AttemptID
	engine  int
	started bool
	ended   bool
}

type engine struct {
	*model.Engine
	zone           int
	dead           bool
	nextStepAt     time.Duration // time of the queued event for the end of its step
	attempts       map[uint64]*attempt
	arrived        int
	oraclePrefixes map[int]time.Duration // prefixes and when the oracle baseline last sent a request with them
}

type router struct {
	zone          int
	dispatcher    *dispatch.Dispatcher
	tickAt        time.Duration // time of the queued timer event; 0 = none
	inFlight      []int         // requests in flight from this router to each engine; used by baselines
	totalInFlight int
	alive         []bool // engines that this router believes to be alive
}

// event is an entry of the event queue. Events at the same time are handled in the order of scheduling.
type event struct {
	at      time.Duration
	seq     uint64
	kind    eventKind
	index   int // index of an engine or a router
	attempt *attempt
	request *request
	done    bool
	value   int // cached tokens of an answer, or a negative constant below; the engine index of routerLearnsCrash
}

type eventKind uint8

const (
	requestArrives    eventKind = iota // a request arrives at its router
	attemptArrives                     // an attempt arrives at its engine
	engineSteps                        // the step of an engine ends
	engineAnswers                      // the first token or the end of an answer arrives at the router
	engineFull                         // the rejection by a full engine arrives at the router
	routerTicks                        // the timer of a router fires
	engineCrashes                      // an engine crashes
	routerLearnsCrash                  // a router learns of the crash of an engine
	clientTimesOut                     // a client times out (baselines only)
)

// Values of event.value that replace the number of cached tokens.
const (
	attemptCancelled = -1
	connectionReset  = -2
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

// world is the state of a run.
type world struct {
	Options
	requestRand   *rand.Rand // draws requests; the same in every variant
	baselineRand  *rand.Rand // draws decisions of baselines and delays of crash notices
	now           time.Duration
	seq           uint64
	queue         queue
	engines       []*engine
	routers       []*router
	requests      []*request
	attempts      []map[dispatch.AttemptID]*attempt // in flight, by router
	lastRequestID uint64
	zipf          []float64 // cumulative weights of the prefixes
	outputs       []model.Output
	cachedTokens  int
	promptTokens  int
	steps         int
	ring          []ringPoint
}

type ringPoint struct {
	hash   uint64
	engine int
}

// Run simulates one run.
func Run(o Options) (Figures, error) {
	if !slices.Contains(Variants, o.Variant) || o.Routers < 1 || o.Engines < 2 || o.Zones < 1 || !(o.Load > 0) || o.Length <= 0 || o.Skew < 0 {
		return Figures{}, fmt.Errorf("sim: invalid options %+v: the variant must be one of %v, with at least one router, two engines and one zone, a positive load and length, and no negative skew", o, Variants)
	}
	w := &world{
		Options: o, requestRand: rand.New(rand.NewPCG(o.Seed, 1)), baselineRand: rand.New(rand.NewPCG(o.Seed, 2)),
		now: time.Hour, // decision modules require a clock that does not start at 0
	}
	if err := w.build(); err != nil {
		return Figures{}, err
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = max(w.now, e.at)
		w.handle(e)
	}
	return w.summarize(), nil
}

func (w *world) schedule(e event) {
	w.seq++
	e.seq = w.seq
	heap.Push(&w.queue, e)
}

// build creates the engines, routers and requests.
func (w *world) build() error {
	p := model.Default(1)
	p.Slots, p.Queue = engineSlots, 2*engineSlots
	startedAt := w.now - time.Hour + 1
	if w.Cold {
		startedAt = w.now
	}
	for i := range w.Engines {
		w.engines = append(w.engines, &engine{Engine: model.New(p, startedAt), zone: i % w.Zones, attempts: map[uint64]*attempt{}, oraclePrefixes: map[int]time.Duration{}})
		for v := range 64 {
			w.ring = append(w.ring, ringPoint{mix(uint64(i)<<16|uint64(v), 7), i})
		}
	}
	slices.SortFunc(w.ring, func(a, b ringPoint) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	for i := range w.Routers {
		r := &router{zone: i % w.Zones, inFlight: make([]int, w.Engines), alive: make([]bool, w.Engines)}
		for k := range r.alive {
			r.alive[k] = true
		}
		w.routers = append(w.routers, r)
		w.attempts = append(w.attempts, map[dispatch.AttemptID]*attempt{})
		if w.Variant != "design" {
			continue
		}
		lim := limits.NewFleetRouter(limits.Machine{Cores: 1, MemoryMB: 284, Sockets: 1 << 16})
		r.dispatcher = dispatch.New(lim)
		class := policy.Class{Name: "chat", TargetLatency: targetLatency, Deadline: 12 * time.Second, Value: 1, LateValue: 1, Effect: policy.EffectUnsafe, IsStreaming: true, MaxAttempts: maxAttempts}
		m, err := policy.New(dialect.PolicySettings([]policy.Class{class}, limits.DrainGrace(3*time.Second), maxAttempts), mix(w.Seed, uint64(i)+100))
		if err != nil {
			return fmt.Errorf("sim: %w", err)
		}
		w.reduce(i, dispatch.ConfigurePool{Pool: 1, Name: "s", Module: m, SlowStart: dialect.SlowStart, SlowStartInitial: dialect.SlowStartInitial, MaxAttempts: maxAttempts, RetryAfter: time.Second})
		w.listEndpoints(i)
	}
	prefixes := 2 * w.Engines
	sum := 0.0
	for i := range prefixes {
		sum += math.Pow(float64(i+1), -w.Skew)
		w.zipf = append(w.zipf, sum)
	}
	rate := w.Load * requestsPerSecond * float64(w.Engines)
	for at := w.now; ; {
		at += time.Duration(w.requestRand.ExpFloat64() / rate * float64(time.Second))
		if at > w.now+w.Length {
			break
		}
		prefix, _ := slices.BinarySearch(w.zipf, w.requestRand.Float64()*sum)
		req := &request{id: uint64(len(w.requests) + 1), router: w.requestRand.IntN(w.Routers), prefix: min(prefix, prefixes-1), arrivedAt: at}
		w.requests = append(w.requests, req)
		w.schedule(event{at: at, kind: requestArrives, request: req})
	}
	for i := range int(w.Crash * float64(w.Engines)) {
		w.schedule(event{at: w.now + w.Length/2, kind: engineCrashes, index: i * 7 % w.Engines})
	}
	return nil
}

// mix hashes two numbers. The result is never 0.
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

// listEndpoints sends a router the list of engines that it believes to be alive.
func (w *world) listEndpoints(i int) {
	listed := dispatch.EndpointsListed{Pool: 1, Kind: policy.ListFull}
	for k := range w.engines {
		if w.routers[i].alive[k] {
			h := dispatch.Host{Name: fmt.Sprint("e", k), Addr: fmt.Sprint(k), Weight: 1}
			if w.Cold {
				h.StartedAt = time.Hour
			}
			listed.Hosts = append(listed.Hosts, h)
		}
	}
	w.reduce(i, listed)
}

// delay returns the one-way network delay between a router and an engine.
func (w *world) delay(r, e int) time.Duration {
	if w.routers[r].zone == w.engines[e].zone {
		return sameZoneDelay
	}
	return crossZoneDelay
}

// reduce applies an event to the dispatcher of a router and performs the resulting effects.
func (w *world) reduce(i int, e dispatch.Event) {
	r := w.routers[i]
	// The effects are valid only until the next event.
	for _, f := range slices.Clone(r.dispatcher.Reduce(w.now, e)) {
		switch f := f.(type) {
		case dispatch.StartAttempt:
			req := f.Client.(*request)
			var k int
			_, _ = fmt.Sscan(f.Addr, &k) // always a number from listEndpoints
			a := &attempt{request: req, id: f.Attempt, engine: k}
			req.attempts++
			w.attempts[i][f.Attempt] = a
			w.schedule(event{at: w.now + w.delay(i, k), kind: attemptArrives, attempt: a})
		case dispatch.BindAttempt:
			if a := w.attempts[i][f.Attempt]; a != nil && a.request.firstTokenAt == 0 {
				a.request.firstTokenAt = w.now
			}
		case dispatch.CancelAttempt:
			if a := w.attempts[i][f.Attempt]; a != nil && !a.ended {
				a.ended = true
				w.cancel(a)
				w.schedule(event{at: w.now, kind: engineAnswers, attempt: a, done: true, value: attemptCancelled})
			}
		case dispatch.Reject:
			req := f.Client.(*request)
			req.state = rejected
			if f.MayHaveRun || f.Verdict == dispatch.VerdictFailed {
				req.state = failed
			}
		}
	}
	if at, ok := r.dispatcher.NextDue(); ok && (r.tickAt == 0 || at < r.tickAt) {
		r.tickAt = max(at, w.now)
		w.schedule(event{at: r.tickAt, kind: routerTicks, index: i})
	}
}

func (w *world) cancel(a *attempt) {
	e := w.engines[a.engine]
	for id, x := range e.attempts {
		if x == a {
			delete(e.attempts, id)
			e.Cancel(id)
		}
	}
}

func (w *world) handle(e event) {
	switch e.kind {
	case requestArrives:
		w.handleArrival(e.request)
	case attemptArrives:
		w.handleAttempt(e.attempt)
	case engineSteps:
		g := w.engines[e.index]
		if g.nextStepAt == e.at {
			g.nextStepAt = 0
			w.steps++
			w.stepEngine(e.index)
		}
	case engineAnswers:
		w.handleAnswer(e)
	case engineFull:
		w.handleFull(e.attempt)
	case routerTicks:
		r := w.routers[e.index]
		if r.tickAt == e.at {
			r.tickAt = 0
			w.reduce(e.index, dispatch.Tick{})
		}
	case engineCrashes:
		w.handleCrash(e.index)
	case routerLearnsCrash:
		w.routers[e.index].alive[e.value] = false
		if w.Variant == "design" {
			w.listEndpoints(e.index)
		}
	case clientTimesOut:
		if req := e.request; req.state == pending && req.firstTokenAt == 0 {
			req.state = failed
		}
	}
}

// handleArrival handles a request that arrives at its router.
func (w *world) handleArrival(req *request) {
	if w.Variant == "design" {
		salt := mix(w.Seed, uint64(req.router)+1000)
		w.reduce(req.router, dispatch.RequestReceived{Client: req, Pool: 1, ReceivedAt: w.now, MaxAttempts: maxAttempts, Request: policy.Request{
			Session: mix(uint64(req.prefix)+1, salt), Prefix: mix(uint64(req.prefix)+1, 5), Timeout: clientTimeout,
		}})
		return
	}
	w.schedule(event{at: w.now + clientTimeout, kind: clientTimesOut, request: req})
	w.chooseEngine(req)
}

// handleFull handles the rejection of an attempt by a full engine.
func (w *world) handleFull(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	if w.Variant == "design" {
		w.endAttempt(a, policy.ResultFull, 0)
		return
	}
	w.releaseAttempt(a)
	w.chooseEngine(a.request)
}

// handleCrash ends an engine and resets its connections. Each router learns of the crash after a delay of its own.
func (w *world) handleCrash(n int) {
	g := w.engines[n]
	g.dead = true
	for i := range w.routers {
		w.schedule(event{at: w.now + time.Duration(w.baselineRand.Float64()*float64(w.News)), kind: routerLearnsCrash, index: i, done: true, value: n})
	}
	ids := make([]uint64, 0, len(g.attempts))
	for id := range g.attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids { // all its connections are reset
		w.resetConnection(g.attempts[id])
	}
}

// handleAttempt handles an attempt that arrives at its engine.
func (w *world) handleAttempt(a *attempt) {
	g := w.engines[a.engine]
	replyAt := w.now + w.delay(a.request.router, a.engine)
	switch {
	case a.ended:
	case g.dead:
		w.resetConnection(a)
	default:
		g.arrived++
		w.lastRequestID++
		ok := g.Arrive(w.now, model.Request{
			ID: w.lastRequestID, Prefix: mix(uint64(a.request.prefix)+1, 5), Prompt: prefixTokens + suffixTokens, PrefixTokens: prefixTokens, Answer: answerTokens,
		})
		if !ok {
			w.schedule(event{at: replyAt, kind: engineFull, attempt: a})
			return
		}
		g.attempts[w.lastRequestID] = a
		w.stepEngine(a.engine)
	}
}

// resetConnection schedules the notice that the connection of an attempt was reset. Whether the engine received the attempt
// decides between a failed connection and a reset.
func (w *world) resetConnection(a *attempt) {
	if a.ended {
		return
	}
	w.schedule(event{at: w.now + w.delay(a.request.router, a.engine), kind: engineAnswers, attempt: a, done: true, value: connectionReset})
}

// stepEngine finishes the steps of an engine that are due and schedules the end of the next one.
func (w *world) stepEngine(i int) {
	g := w.engines[i]
	if g.dead {
		return
	}
	w.outputs = g.Advance(w.now, w.outputs[:0])
	for _, o := range w.outputs {
		a := g.attempts[o.ID]
		if a == nil {
			continue
		}
		at := w.now + w.delay(a.request.router, i)
		if o.First == 0 {
			w.cachedTokens += o.CachedTokens
			w.promptTokens += prefixTokens + suffixTokens
			w.schedule(event{at: at, kind: engineAnswers, attempt: a})
		}
		if o.Done {
			delete(g.attempts, o.ID)
			w.schedule(event{at: at, kind: engineAnswers, attempt: a, done: true, value: o.CachedTokens})
		}
	}
	if at, ok := g.Next(); ok && at != g.nextStepAt {
		g.nextStepAt = at
		w.schedule(event{at: at, kind: engineSteps, index: i})
	}
}

// handleAnswer handles output of an engine that arrives at the router.
func (w *world) handleAnswer(e event) {
	if w.Variant == "design" {
		w.handleAnswerDesign(e)
	} else {
		w.handleAnswerBaseline(e)
	}
}

// handleAnswerDesign is handleAnswer for the variant "design".
func (w *world) handleAnswerDesign(e event) {
	a := e.attempt
	switch {
	case e.value == attemptCancelled:
		w.endAttempt(a, policy.ResultCancelled, 0)
	case a.ended:
	case e.value == connectionReset:
		a.ended = true
		r := policy.ResultReset
		if !w.isAtEngine(a) {
			r = policy.ResultConnectFailed
		}
		w.endAttempt(a, r, 0)
	case !e.done:
		a.started = true
		w.reduce(a.request.router, dispatch.AttemptStarted{Attempt: a.id})
	default:
		a.ended = true
		w.endAttempt(a, policy.ResultOK, e.value)
		a.request.state = served
	}
}

// handleAnswerBaseline is handleAnswer for the baselines.
func (w *world) handleAnswerBaseline(e event) {
	a := e.attempt
	req := a.request
	switch {
	case a.ended:
	case e.value == connectionReset:
		a.ended = true
		w.releaseAttempt(a)
		if w.isAtEngine(a) || req.firstTokenAt != 0 {
			req.state = failed
			return
		}
		w.chooseEngine(req)
	case !e.done:
		if req.firstTokenAt == 0 && req.state == pending {
			req.firstTokenAt = w.now
		}
	default:
		a.ended = true
		w.releaseAttempt(a)
		if req.state == pending {
			req.state = served
		}
	}
}

// isAtEngine reports whether the engine has the attempt in its queue or its batch.
func (w *world) isAtEngine(a *attempt) bool {
	for _, x := range w.engines[a.engine].attempts {
		if x == a {
			return true
		}
	}
	return false
}

func (w *world) endAttempt(a *attempt, r policy.Result, cachedTokens int) {
	delete(w.attempts[a.request.router], a.id)
	w.reduce(a.request.router, dispatch.AttemptEnded{Attempt: a.id, Result: r, CachedTokens: float64(cachedTokens)})
}

// summarize computes the figures of the run.
func (w *world) summarize() Figures {
	f := Figures{Requests: len(w.requests), Steps: w.steps}
	var firstTokenMillis []float64
	n := float64(len(w.requests))
	attempts := 0
	for _, req := range w.requests {
		attempts += req.attempts
		switch {
		case req.state == rejected:
			f.Rejected += 1 / n
		case req.state != served:
			f.Failed += 1 / n
		default:
			took := req.firstTokenAt - req.arrivedAt
			firstTokenMillis = append(firstTokenMillis, took.Seconds()*1000)
			if took <= targetLatency {
				f.WithinTarget += 1 / n
			} else {
				f.Late += 1 / n
			}
		}
	}
	slices.Sort(firstTokenMillis)
	if k := len(firstTokenMillis); k > 0 {
		f.P50, f.P99 = firstTokenMillis[k/2], firstTokenMillis[min(k*99/100, k-1)]
	}
	f.CachedShare = float64(w.cachedTokens) / max(float64(w.promptTokens), 1)
	f.Attempts = float64(attempts) / n
	most, sum := 0, 0
	for _, e := range w.engines {
		most, sum = max(most, e.arrived), sum+e.arrived
	}
	f.Busiest = float64(most) * float64(len(w.engines)) / max(float64(sum), 1)
	return f
}
