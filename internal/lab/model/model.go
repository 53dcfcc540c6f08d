// Package model simulates one language-model engine on a clock that the caller supplies: its queue, its batch, prefill,
// decode, the prefix cache, and the warm-up after a start. It opens no socket and reads no clock, so that the same engine
// runs behind the sockets of a stand-in and in simulated time.
//
// It follows the public descriptions of continuous batching. The engine works in steps. Each step prefills a bounded
// number of prompt tokens in order of arrival and decodes one token for every request whose prompt is complete. A step
// takes longer the more requests run, the longer their contexts are and the more it prefills. Running requests and cached
// prompts share the KV cache, which evicts cached prompts least recently used first.
package model

import (
	"container/list"
	"time"
)

// Params configures an engine. Every value is positive unless its comment allows 0.
type Params struct {
	Slots            int           // requests in a batch, at most
	Queue            int           // requests that wait for a slot, at most
	KVTokens         int           // tokens of running requests and cached prompts together
	PrefillChunk     int           // prompt tokens prefilled in one step, at most
	StepTime         time.Duration // fixed part of a step
	StepPerSequence  time.Duration // added for each running request
	PrefillPerSecond float64       // prompt tokens prefilled per second
	StepPer1KContext time.Duration // added for each 1,000 tokens of context; may be 0
	ColdShare        float64       // speed at the start, as a share of the speed when warm
	WarmUp           time.Duration // time from the start until full speed; may be 0
	EventTokens      int           // tokens in one streamed event
}

// Default returns the parameters of an engine in the middle of the published ranges: 11 to 21 ms per step, and prefill at
// 11,000 to 29,000 tokens per second. All durations are divided by speed.
func Default(speed float64) Params {
	scaled := func(d time.Duration) time.Duration { return time.Duration(float64(d) / speed) }
	return Params{
		Slots: 48, Queue: 64, KVTokens: 240000, PrefillChunk: 4096, StepTime: scaled(14 * time.Millisecond),
		StepPerSequence: scaled(150 * time.Microsecond), PrefillPerSecond: 20000 * speed, StepPer1KContext: scaled(40 * time.Microsecond),
		ColdShare: 0.4, WarmUp: scaled(8 * time.Second), EventTokens: 4,
	}
}

// Request is a request to an engine.
type Request struct {
	ID           uint64
	Session      uint64 // identifies the session whose earlier prompts may be cached; 0 = none
	Prefix       uint64 // identifies a prompt prefix shared with other sessions; 0 = none
	Prompt       int    // tokens
	PrefixTokens int    // length of the shared prefix
	Answer       int    // tokens to generate, at least 1
}

// Output is what a step produced for a request.
type Output struct {
	ID           uint64
	First        int  // index of the first new token, counted from 0
	Count        int  // number of new tokens
	Done         bool // the answer is complete
	CachedTokens int  // prompt tokens found in the prefix cache
}

// running is a request that waits or runs.
type running struct {
	Request
	unprefilled  int
	cachedTokens int
	generated    int // tokens
	emitted      int // generated tokens that were reported in an Output
	arrivedAt    time.Duration
}

// Engine is a simulated engine. It is not safe for concurrent use, and time must not go backwards between calls.
type Engine struct {
	params       Params
	startedAt    time.Duration
	queue        []*running
	batch        []*running
	stepEnd      time.Duration // end of the current step; 0 = idle
	prefill      []int         // prompt tokens that the current step prefills, by index in batch
	cache        map[uint64]*list.Element
	lru          list.List // of *cacheEntry, most recently used first
	cachedTokens int       // tokens of all cache entries
}

// cacheEntry is a cached prompt or shared prefix.
type cacheEntry struct {
	key    uint64
	tokens int
}

// New returns an idle engine with an empty cache. It warms up from startedAt on.
func New(params Params, startedAt time.Duration) *Engine {
	return &Engine{params: params, startedAt: startedAt, cache: map[uint64]*list.Element{}}
}

// Load returns the number of running and of waiting requests, and their prompt tokens that are not prefilled yet.
func (e *Engine) Load() (run, wait, unprefilled int) {
	for _, r := range e.batch {
		unprefilled += r.unprefilled
	}
	for _, r := range e.queue {
		unprefilled += r.unprefilled
	}
	return len(e.batch), len(e.queue), unprefilled
}

// Arrive enqueues a request. It returns false if the queue is full.
func (e *Engine) Arrive(now time.Duration, req Request) (ok bool) {
	if len(e.queue) >= e.params.Queue {
		return false
	}
	req.Answer = max(req.Answer, 1)
	e.queue = append(e.queue, &running{Request: req, unprefilled: req.Prompt, arrivedAt: now})
	if e.stepEnd == 0 {
		e.begin(now)
	}
	return true
}

// Cancel drops a request. A running request ends with the current step.
func (e *Engine) Cancel(id uint64) {
	for i, r := range e.queue {
		if r.ID == id {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return
		}
	}
	for _, r := range e.batch {
		if r.ID == id {
			r.Answer, r.unprefilled = 0, 0 // removed at the end of the step
		}
	}
}

// Next returns the end of the current step, or false if the engine is idle.
func (e *Engine) Next() (at time.Duration, ok bool) { return e.stepEnd, e.stepEnd != 0 }

// Advance finishes the steps that end by now and appends their outputs to out.
func (e *Engine) Advance(now time.Duration, out []Output) []Output {
	for e.stepEnd != 0 && e.stepEnd <= now {
		at := e.stepEnd
		e.stepEnd = 0
		out = e.finish(out)
		e.begin(at)
	}
	return out
}

// speed returns the relative speed of the engine, which rises from ColdShare to 1 while it warms up.
func (e *Engine) speed(now time.Duration) float64 {
	if e.params.WarmUp <= 0 || now >= e.startedAt+e.params.WarmUp {
		return 1
	}
	return e.params.ColdShare + (1-e.params.ColdShare)*float64(max(now-e.startedAt, 0))/float64(e.params.WarmUp)
}

// begin admits waiting requests to the batch and starts a step if the batch is not empty.
func (e *Engine) begin(now time.Duration) {
	for len(e.queue) > 0 && len(e.batch) < e.params.Slots && e.makeRoom(e.queue[0]) {
		r := e.queue[0]
		e.queue = e.queue[1:]
		r.cachedTokens = e.cachedPrefix(r.Request)
		r.unprefilled -= r.cachedTokens
		e.batch = append(e.batch, r)
	}
	if len(e.batch) == 0 {
		return
	}
	budget, context := e.params.PrefillChunk, 0
	e.prefill = e.prefill[:0]
	for _, r := range e.batch {
		n := min(r.unprefilled, budget)
		budget -= n
		e.prefill = append(e.prefill, n)
		context += r.Prompt - r.unprefilled + r.generated
	}
	duration := float64(e.params.StepTime) + float64(e.params.StepPerSequence)*float64(len(e.batch)) +
		float64(e.params.PrefillChunk-budget)/e.params.PrefillPerSecond*float64(time.Second) + float64(e.params.StepPer1KContext)*float64(context)/1000
	e.stepEnd = now + max(time.Duration(duration/e.speed(now)), 1)
}

// finish ends the current step: it advances prefill and adds one token to each request whose prompt is complete.
func (e *Engine) finish(out []Output) []Output {
	remaining := e.batch[:0]
	for i, r := range e.batch {
		if r.Answer == 0 {
			continue // cancelled
		}
		if r.unprefilled -= e.prefill[i]; r.unprefilled == 0 {
			r.generated++
			done := r.generated >= r.Answer
			// The first token is reported at once, later ones in groups of EventTokens.
			if done || r.generated == 1 || r.generated-r.emitted >= e.params.EventTokens {
				out = append(out, Output{ID: r.ID, First: r.emitted, Count: r.generated - r.emitted, Done: done, CachedTokens: r.cachedTokens})
				r.emitted = r.generated
			}
			if done {
				e.storePrompt(r)
				continue
			}
		}
		remaining = append(remaining, r)
	}
	clear(e.batch[len(remaining):])
	e.batch = remaining
	return out
}

// makeRoom evicts cache entries until a request fits. It returns whether the request fits.
func (e *Engine) makeRoom(r *running) bool {
	need := r.Prompt + r.Answer
	for _, b := range e.batch {
		need += b.Prompt + b.Answer
	}
	for need+e.cachedTokens > e.params.KVTokens && e.lru.Len() > 0 {
		e.evict(e.lru.Back())
	}
	return need+e.cachedTokens <= e.params.KVTokens || len(e.batch) == 0 // a request larger than the whole cache runs alone
}

func (e *Engine) evict(at *list.Element) {
	b := at.Value.(*cacheEntry)
	e.lru.Remove(at)
	delete(e.cache, b.key)
	e.cachedTokens -= b.tokens
}

// cachedPrefix returns how many prompt tokens of a request are cached.
func (e *Engine) cachedPrefix(req Request) int {
	most := 0
	for _, k := range [...]struct {
		key  uint64
		upTo int
	}{{sessionKey(req.Session), req.Prompt - 1}, {prefixKey(req.Prefix), req.PrefixTokens}} {
		if at := e.cache[k.key]; at != nil {
			e.lru.MoveToFront(at)
			most = max(most, min(at.Value.(*cacheEntry).tokens, k.upTo))
		}
	}
	return min(most, max(req.Prompt-1, 0)) // the last prompt token is always prefilled
}

// storePrompt caches the prompt and answer of a finished request, and its shared prefix.
func (e *Engine) storePrompt(r *running) {
	e.store(prefixKey(r.Prefix), r.PrefixTokens)
	e.store(sessionKey(r.Session), r.Prompt+r.Answer)
}

func (e *Engine) store(key uint64, tokens int) {
	if key == 0 || tokens <= 0 {
		return
	}
	if at := e.cache[key]; at != nil {
		e.evict(at)
	}
	e.cache[key] = e.lru.PushFront(&cacheEntry{key, tokens})
	e.cachedTokens += tokens
}

// Session keys are odd and prefix keys are even, as both share a map.
func sessionKey(s uint64) uint64 {
	if s == 0 {
		return 0
	}
	return s | 1
}

func prefixKey(p uint64) uint64 { return p &^ 1 }
