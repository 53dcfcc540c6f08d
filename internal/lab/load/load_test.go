package load

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/lab/model"
	"notchhinge/internal/lab/standin"
)

func TestPlan(t *testing.T) {
	// A seed always gives the same requests, at the requested rate and in order, and the prompts of a session grow.
	classes := Classes(1, 1)
	plan := Plan(3, classes, 50, time.Minute, 2, ClientMix{TraceShare: 0.5, RetryMarkShare: 0.5})
	if diff := cmp.Diff(plan, Plan(3, classes, 50, time.Minute, 2, ClientMix{TraceShare: 0.5, RetryMarkShare: 0.5})); diff != "" {
		t.Errorf("two plans of one seed differ: %s", diff)
	}
	if rate := float64(len(plan)) / 60; math.Abs(rate-50) > 10 {
		t.Errorf("got %.1f requests a second, want about 50", rate)
	}
	lastPrompt := map[uint64]int{}
	var lastDue time.Duration
	traced := 0
	for i, r := range plan {
		if r.Number != i || r.Due < lastDue || r.Prompt <= lastPrompt[r.Session] || r.PrefixTokens > r.Prompt {
			t.Fatalf("request %d: %+v after %v and a prompt of %d", i, r, lastDue, lastPrompt[r.Session])
		}
		lastDue, lastPrompt[r.Session] = r.Due, r.Prompt
		if r.SendsTrace {
			traced++
		}
	}
	if share := float64(traced) / float64(len(plan)); share < 0.4 || share > 0.6 {
		t.Errorf("share of requests with a trace context is %.2f, want about 0.5", share)
	}
}

func TestReadStreamDetectsIncorrectStreams(t *testing.T) {
	event := func(id, tokens, rest string) string {
		return `data: {"id":"` + id + `","choices":[{"delta":{"content":"` + tokens + `"}}]}` + "\n\n" + rest
	}
	const end = "data: [DONE]\n\n"
	for name, c := range map[string]struct {
		stream string
		want   Outcome
	}{
		"whole":             {event("x", "w0 w1 ", event("x", "w2 ", end)), Served},
		"token missing":     {event("x", "w0 ", event("x", "w2 ", end)), Wrong},
		"token repeated":    {event("x", "w0 w1 ", event("x", "w1 w2 ", end)), Wrong},
		"another request":   {event("y", "w0 w1 w2 ", end), Wrong},
		"one token too few": {event("x", "w0 w1 ", end), Wrong},
		"no end marker":     {event("x", "w0 w1 w2 ", ""), Wrong},
		"event after end":   {event("x", "w0 w1 w2 ", end+event("x", "w3 ", "")), Wrong},
	} {
		attempt := &Attempt{CallID: "x"}
		(&Client{}).readStream(strings.NewReader(c.stream), attempt, time.NewTimer(time.Hour), 0, 3)
		if attempt.Outcome != c.want {
			t.Errorf("%s: got %s (%s), want %s", name, attempt.Outcome, attempt.Detail, c.want)
		}
	}
}

// TestClientAgainstEngine sends requests to an engine without a router: each attempt is either served or refused.
func TestClientAgainstEngine(t *testing.T) {
	engine := &standin.Engine{Name: "s-1", Params: model.Default(50)}
	if err := engine.Start("127.0.0.1:0", false); err != nil {
		t.Fatal(err)
	}
	defer engine.Kill()
	classes := Classes(50, 0.05)
	for i := range classes {
		classes[i].Deadline = 20 * time.Second // far above the response times of a slow machine
	}
	plan := Plan(1, classes, 200, 300*time.Millisecond, 1, ClientMix{TraceShare: 1})
	var ledger Ledger
	(&Client{Routers: []string{engine.Addr()}, Retries: 2}).Run(context.Background(), plan, &ledger)
	attempts := ledger.Attempts()
	if len(plan) < 20 || len(attempts) < len(plan) {
		t.Fatalf("got %d attempts for %d requests", len(attempts), len(plan))
	}
	for _, a := range attempts {
		if a.Outcome != Served && a.Outcome != Refused {
			t.Errorf("got %+v, want it served or refused", a)
		}
	}
}
