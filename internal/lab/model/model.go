// Package model is one language-model engine as arithmetic on a given clock: its queue, its batch, the reading of
// prompts, the making of tokens, its memory of what it has read, and its cold start. It opens no socket and reads no
// clock, so that the same engine runs behind a stand-in's sockets and in simulated time.
//
// It follows the public descriptions of continuous batching: the engine works in steps; each step reads a bounded
// number of prompt tokens, first come first, and makes one token for every request whose prompt is read; a step takes
// longer the more requests run, the longer their contexts are and the more it reads. Running requests and kept prompts
// share one memory, and kept prompts leave it least recently used first.
package model

import (
	"container/list"
	"time"
)

// Params are one engine's. Every one is positive but where it says otherwise.
type Params struct {
	Slots       int           // requests in a batch
	Queue       int           // requests that wait for a slot
	KVTokens    int           // tokens, of running requests and kept prompts together
	Chunk       int           // prompt tokens read in one step at the most
	Step        time.Duration // of a step by itself
	PerSeq      time.Duration // added for each running request
	ReadPerS    float64       // prompt tokens read a second
	ContextPerK time.Duration // added for each 1,000 tokens of context; may be 0
	ColdShare   float64       // speed at the start, against that of a warm engine
	WarmUp      time.Duration // until it is warm; may be 0
	EventTokens int           // tokens in one event
}

// Default is an engine of the middle size that the deployments' pages give (11 to 21 ms a step, prompts at 11,000 to
// 29,000 tokens a second), with times divided by speed.
func Default(speed float64) Params {
	scaled := func(d time.Duration) time.Duration { return time.Duration(float64(d) / speed) }
	return Params{
		Slots: 48, Queue: 64, KVTokens: 240000, Chunk: 4096, Step: scaled(14 * time.Millisecond),
		PerSeq: scaled(150 * time.Microsecond), ReadPerS: 20000 * speed, ContextPerK: scaled(40 * time.Microsecond),
		ColdShare: 0.4, WarmUp: scaled(8 * time.Second), EventTokens: 4,
	}
}

// Request is what an engine is asked for.
type Request struct {
	ID           uint64
	Session      uint64 // whose earlier prompts may be kept; 0 = none
	Prefix       uint64 // names a beginning shared with other sessions; 0 = none
	Prompt       int    // tokens
	PrefixTokens int    // of the shared beginning
	Answer       int    // tokens it will make, 1 at least
}

// Output is what a step gave a request.
type Output struct {
	ID           uint64
	First        int  // number of its first new token, counted from 0
	Count        int  // of tokens
	Done         bool // the answer is whole
	CachedTokens int  // prompt tokens that were found kept
}

type running struct {
	Request
	unread int
	kept   int
	made   int // tokens
	told   int // of these, in events
	arrive time.Duration
}

// Engine is one engine. It is not safe for concurrent use; its clock may not go back.
type Engine struct {
	p      Params
	born   time.Duration
	queue  []*running
	batch  []*running
	step   time.Duration // the end of the step under way; 0 = idle
	read   []int         // prompt tokens that the step reads, by place in batch
	kept   map[uint64]*list.Element
	recent list.List // of *beginning, most recently used first
	held   int       // tokens of kept beginnings
}

// beginning is a prompt, or a shared part of one, that is kept.
type beginning struct {
	key    uint64
	tokens int
}

// New returns an engine that starts now, empty and cold. An engine that was born long ago is warm.
func New(p Params, born time.Duration) *Engine {
	return &Engine{p: p, born: born, kept: map[uint64]*list.Element{}}
}

// Load tells how many requests run, wait, and how many prompt tokens are unread.
func (e *Engine) Load() (run, wait, unread int) {
	for _, r := range e.batch {
		unread += r.unread
	}
	for _, r := range e.queue {
		unread += r.unread
	}
	return len(e.batch), len(e.queue), unread
}

// Arrive takes a request in, or tells that there is no room for it.
func (e *Engine) Arrive(now time.Duration, q Request) (ok bool) {
	if len(e.queue) >= e.p.Queue {
		return false
	}
	q.Answer = max(q.Answer, 1)
	e.queue = append(e.queue, &running{Request: q, unread: q.Prompt, arrive: now})
	if e.step == 0 {
		e.begin(now)
	}
	return true
}

// Cancel drops a request. Running work stops with the step that is under way.
func (e *Engine) Cancel(id uint64) {
	for i, r := range e.queue {
		if r.ID == id {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return
		}
	}
	for _, r := range e.batch {
		if r.ID == id {
			r.Answer, r.unread = 0, 0 // it leaves at the step's end
		}
	}
}

// Next tells when the step under way ends.
func (e *Engine) Next() (at time.Duration, ok bool) { return e.step, e.step != 0 }

// Advance ends the steps that are due by now and appends what they gave.
func (e *Engine) Advance(now time.Duration, out []Output) []Output {
	for e.step != 0 && e.step <= now {
		at := e.step
		e.step = 0
		out = e.finish(out)
		e.begin(at)
	}
	return out
}

// speed is that of a warming engine, from ColdShare to 1.
func (e *Engine) speed(now time.Duration) float64 {
	if e.p.WarmUp <= 0 || now >= e.born+e.p.WarmUp {
		return 1
	}
	return e.p.ColdShare + (1-e.p.ColdShare)*float64(max(now-e.born, 0))/float64(e.p.WarmUp)
}

// begin starts a step if there is anything to do.
func (e *Engine) begin(now time.Duration) {
	for len(e.queue) > 0 && len(e.batch) < e.p.Slots && e.room(e.queue[0]) {
		r := e.queue[0]
		e.queue = e.queue[1:]
		r.kept = e.find(r.Request)
		r.unread -= r.kept
		e.batch = append(e.batch, r)
	}
	if len(e.batch) == 0 {
		return
	}
	left, context := e.p.Chunk, 0
	e.read = e.read[:0]
	for _, r := range e.batch {
		n := min(r.unread, left)
		left -= n
		e.read = append(e.read, n)
		context += r.Prompt - r.unread + r.made
	}
	took := float64(e.p.Step) + float64(e.p.PerSeq)*float64(len(e.batch)) +
		float64(e.p.Chunk-left)/e.p.ReadPerS*float64(time.Second) + float64(e.p.ContextPerK)*float64(context)/1000
	e.step = now + max(time.Duration(took/e.speed(now)), 1)
}

// finish ends a step: prompts are read further, and each request whose prompt is read has one token more.
func (e *Engine) finish(out []Output) []Output {
	stay := e.batch[:0]
	for i, r := range e.batch {
		if r.Answer == 0 {
			continue // cancelled
		}
		if r.unread -= e.read[i]; r.unread == 0 {
			r.made++
			done := r.made >= r.Answer
			// The first token is told at once, further ones some at a time.
			if done || r.made == 1 || r.made-r.told >= e.p.EventTokens {
				out = append(out, Output{ID: r.ID, First: r.told, Count: r.made - r.told, Done: done, CachedTokens: r.kept})
				r.told = r.made
			}
			if done {
				e.keep(r)
				continue
			}
		}
		stay = append(stay, r)
	}
	clear(e.batch[len(stay):])
	e.batch = stay
	return out
}

// room makes room in the memory for a request, at the cost of what is kept.
func (e *Engine) room(r *running) bool {
	need := r.Prompt + r.Answer
	for _, b := range e.batch {
		need += b.Prompt + b.Answer
	}
	for need+e.held > e.p.KVTokens && e.recent.Len() > 0 {
		e.forget(e.recent.Back())
	}
	return need+e.held <= e.p.KVTokens || len(e.batch) == 0 // one that is larger than all memory runs alone
}

func (e *Engine) forget(at *list.Element) {
	b := at.Value.(*beginning)
	e.recent.Remove(at)
	delete(e.kept, b.key)
	e.held -= b.tokens
}

// find tells how much of a prompt is kept.
func (e *Engine) find(q Request) int {
	most := 0
	for _, k := range [...]struct {
		key  uint64
		upTo int
	}{{sessionKey(q.Session), q.Prompt - 1}, {prefixKey(q.Prefix), q.PrefixTokens}} {
		if at := e.kept[k.key]; at != nil {
			e.recent.MoveToFront(at)
			most = max(most, min(at.Value.(*beginning).tokens, k.upTo))
		}
	}
	return min(most, max(q.Prompt-1, 0)) // the last token is always read
}

// keep remembers a finished request's prompt and answer, and its shared beginning.
func (e *Engine) keep(r *running) {
	e.remember(prefixKey(r.Prefix), r.PrefixTokens)
	e.remember(sessionKey(r.Session), r.Prompt+r.Answer)
}

func (e *Engine) remember(key uint64, tokens int) {
	if key == 0 || tokens <= 0 {
		return
	}
	if at := e.kept[key]; at != nil {
		e.forget(at)
	}
	e.kept[key] = e.recent.PushFront(&beginning{key, tokens})
	e.held += tokens
}

// The two kinds of keys share a map.
func sessionKey(s uint64) uint64 {
	if s == 0 {
		return 0
	}
	return s | 1
}

func prefixKey(p uint64) uint64 { return p &^ 1 }
