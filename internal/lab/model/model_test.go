package model

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// run advances an engine until it is idle. It returns the outputs and the end of the last step.
func run(t interface{ Fatal(...any) }, e *Engine) (out []Output, end time.Duration) {
	for n := 0; ; n++ {
		at, ok := e.Next()
		if !ok {
			return out, end
		}
		if n > 100000 {
			t.Fatal("the engine is not idle after 100000 steps")
		}
		out, end = e.Advance(at, out), at
	}
}

func TestCachedPromptIsNotPrefilledAgain(t *testing.T) {
	p := Default(1)
	e := New(p, -time.Hour)
	complete := func(now time.Duration, session uint64, prompt int) (time.Duration, int) {
		if !e.Arrive(now, Request{ID: uint64(now) + 1, Session: session, Prefix: 2, Prompt: prompt, PrefixTokens: 4000, Answer: 1}) {
			t.Fatal("the queue is full")
		}
		out, end := run(t, e)
		return end - now, out[len(out)-1].CachedTokens
	}
	first, cached := complete(0, 11, 8000)
	if cached != 0 {
		t.Errorf("%d tokens of a first prompt are cached", cached)
	}
	if next, cached := complete(time.Minute, 11, 8200); cached != 8001 || next > first/4 {
		t.Errorf("next turn: %d tokens cached, %v after %v", cached, next, first)
	}
	if _, cached := complete(2*time.Minute, 13, 8000); cached != 4000 {
		t.Errorf("another session with the same prefix: %d tokens cached", cached)
	}
}

func TestColdEngineIsSlow(t *testing.T) {
	p := Default(1)
	times := map[string]time.Duration{}
	for name, startedAt := range map[string]time.Duration{"cold": 0, "warm": -time.Hour} {
		e := New(p, startedAt)
		e.Arrive(0, Request{ID: 1, Prompt: 1000, Answer: 2})
		_, times[name] = run(t, e)
	}
	if r := float64(times["cold"]) / float64(times["warm"]); r < 2 || r > 2.6 {
		t.Errorf("a cold engine takes %.2f times as long, want 2 to 2.6", r)
	}
}

// countTokens counts the tokens of each request. It fails on tokens out of order or after the end.
func countTokens(t *rapid.T, out []Output, got map[uint64]int, done map[uint64]bool) {
	for _, o := range out {
		if o.First != got[o.ID] || o.Count < 1 || done[o.ID] || o.CachedTokens >= 2000 {
			t.Fatalf("%+v after %d tokens, done %v", o, got[o.ID], done[o.ID])
		}
		got[o.ID] += o.Count
		done[o.ID] = o.Done
	}
}

// TestEachTokenIsEmittedOnce checks that each request that is accepted and not cancelled gets every token once and in order,
// ends once, and that the limits of batch and queue hold.
func TestEachTokenIsEmittedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Default(1)
		p.Slots, p.Queue, p.KVTokens = rapid.IntRange(1, 5).Draw(t, "slots"), rapid.IntRange(1, 5).Draw(t, "queue"), 3000
		e := New(p, 0)
		var now time.Duration
		want, got, done := map[uint64]int{}, map[uint64]int{}, map[uint64]bool{}
		note := func(out []Output) { countTokens(t, out, got, done) }
		for id := uint64(1); id <= uint64(rapid.IntRange(1, 30).Draw(t, "requests")); id++ {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Millisecond
			note(e.Advance(now, nil))
			q := Request{ID: id, Session: id % 3, Prompt: rapid.IntRange(1, 2000).Draw(t, "prompt"), Answer: rapid.IntRange(1, 20).Draw(t, "answer")}
			if e.Arrive(now, q) {
				want[id] = q.Answer
			}
			if n := uint64(rapid.IntRange(0, 60).Draw(t, "cancel")); want[n] > 0 && !done[n] {
				e.Cancel(n)
				delete(want, n)
			}
			if run, wait, unprefilled := e.Load(); run > p.Slots || wait > p.Queue || unprefilled < 0 {
				t.Fatalf("%d running, %d waiting, %d not prefilled", run, wait, unprefilled)
			}
		}
		out, _ := run(t, e)
		note(out)
		for id, n := range want {
			if got[id] != n || !done[id] {
				t.Fatalf("request %d: %d of %d tokens, done %v", id, got[id], n, done[id])
			}
		}
	})
}
