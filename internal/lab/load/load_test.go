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
	// The same seed gives the same calls; their rate is the one that is asked for, they are in order, and a session's
	// prompts grow from turn to turn.
	classes := Classes(1, 1)
	plan := Plan(3, classes, 50, time.Minute, 2, Style{Carry: 0.5, Mark: 0.5})
	if diff := cmp.Diff(plan, Plan(3, classes, 50, time.Minute, 2, Style{Carry: 0.5, Mark: 0.5})); diff != "" {
		t.Errorf("two draws differ: %s", diff)
	}
	if rate := float64(len(plan)) / 60; math.Abs(rate-50) > 10 {
		t.Errorf("%.1f calls a second of 50", rate)
	}
	last := map[uint64]int{}
	var before time.Duration
	carry := 0
	for i, c := range plan {
		if c.Number != i || c.Due < before || c.Prompt <= last[c.Session] || c.Opening > c.Prompt {
			t.Fatalf("call %d: %+v after %v and a prompt of %d", i, c, before, last[c.Session])
		}
		before, last[c.Session] = c.Due, c.Prompt
		if c.Carries {
			carry++
		}
	}
	if share := float64(carry) / float64(len(plan)); share < 0.4 || share > 0.6 {
		t.Errorf("%.2f carry a context", share)
	}
}

func TestReaderFindsWhatIsWrong(t *testing.T) {
	event := func(id, words, rest string) string {
		return `data: {"id":"` + id + `","choices":[{"delta":{"content":"` + words + `"}}]}` + "\n\n" + rest
	}
	const end = "data: [DONE]\n\n"
	for name, c := range map[string]struct {
		stream string
		want   Outcome
	}{
		"whole":              {event("x", "w0 w1 ", event("x", "w2 ", end)), Served},
		"a token lost":       {event("x", "w0 ", event("x", "w2 ", end)), Wrong},
		"a token doubled":    {event("x", "w0 w1 ", event("x", "w1 w2 ", end)), Wrong},
		"another call's":     {event("y", "w0 w1 w2 ", end), Wrong},
		"one too few":        {event("x", "w0 w1 ", end), Wrong},
		"without its end":    {event("x", "w0 w1 w2 ", ""), Wrong},
		"more after its end": {event("x", "w0 w1 w2 ", end+event("x", "w3 ", "")), Wrong},
	} {
		try := &Attempt{CallID: "x"}
		(&Client{}).read(strings.NewReader(c.stream), try, time.NewTimer(time.Hour), 0, 3)
		if try.Outcome != c.want {
			t.Errorf("%s: %s %s", name, try.Outcome, try.Detail)
		}
	}
}

// TestClientAgainstBox asks a box without a router between: every call is served whole, or turned away and tried again.
func TestClientAgainstBox(t *testing.T) {
	b := &standin.Engine{Name: "s-1", Params: model.Default(50)}
	if err := b.Start("127.0.0.1:0", false); err != nil {
		t.Fatal(err)
	}
	defer b.Die()
	classes := Classes(50, 0.05)
	for i := range classes {
		classes[i].Deadline = 20 * time.Second // the verdict must not hang on this machine's pace
	}
	plan := Plan(1, classes, 200, 300*time.Millisecond, 1, Style{Carry: 1})
	var l Ledger
	(&Client{Routers: []string{b.Addr()}, Retries: 2}).Run(context.Background(), plan, &l)
	tries := l.Attempts()
	if len(plan) < 20 || len(tries) < len(plan) {
		t.Fatalf("%d tries of %d calls", len(tries), len(plan))
	}
	for _, y := range tries {
		if y.Outcome != Served && y.Outcome != Refused {
			t.Errorf("%+v", y)
		}
	}
}
