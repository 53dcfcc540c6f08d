package batch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/directory"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/route"
	"notchhinge/policy"
)

// harness is a Service with a clock that the test sets. It records the attempts that the service posts, and the test ends them in place
// of the dispatcher.
type harness struct {
	*Service
	t         *testing.T
	at        time.Duration
	submitted []*attempt // nil for a withdrawn one
	reminders []dispatch.SetReminder
}

const key = "secret"

// newHarness returns a harness with one team on a spool directory; change may modify the team's contract.
func newHarness(t *testing.T, spool string, change func(*Contract)) *harness {
	t.Helper()
	k := Contract{
		Team: "crews", Classes: []string{"batch-summary", "doc-lookup"}, MaxItems: 9, MaxConcurrent: 4, BudgetTokens: 10000,
		BudgetPeriod: Period(time.Hour), ItemDeadline: Period(20 * time.Second), key: key,
	}
	if change != nil {
		change(&k)
	}
	r := &harness{t: t, at: 1000 * time.Second}
	lim := limits.New(limits.Machine{MemoryMB: 192, Sockets: 1024}, limits.Site{})
	lim.BatchItemBytes = 1000
	dir := directory.SinglePool(&directory.Pool{Classes: []policy.Class{
		{Name: "doc-lookup", Deadline: 6 * time.Second}, {Name: "batch-summary", Deadline: 12 * time.Second},
	}})
	s, err := New(Options{
		Config: &Config{Spool: spool, Contracts: []Contract{k}}, Limits: lim,
		Directory: func() *directory.Directory { return dir }, Now: func() time.Duration { return r.at }, Log: slog.New(slog.DiscardHandler),
		Post: func(e dispatch.Event) {
			switch e := e.(type) {
			case dispatch.RequestReceived:
				r.submitted = append(r.submitted, e.Client.(*attempt))
			case dispatch.SetReminder:
				r.reminders = append(r.reminders, e)
			case dispatch.ClientLeft:
				r.submitted = append(r.submitted, nil) // withdrawn
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	r.Service = s
	return r
}

// after advances the clock, delivers the reminders that are due, schedules once and returns the attempts that were submitted.
func (r *harness) after(d time.Duration) []*attempt {
	r.at += d
	r.submitted = nil
	due := r.reminders
	r.reminders = nil
	for _, e := range due {
		if e.At <= r.at {
			e.Token.(*item).Due()
		} else {
			r.reminders = append(r.reminders, e)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.schedule()
	return r.submitted
}

// job uploads a file and creates a job from it.
func (r *harness) job(text string) *job {
	r.t.Helper()
	t := r.teams[key]
	f, err := r.storeUpload(t, "in.jsonl", strings.NewReader(text))
	if err != nil {
		r.t.Fatal(err)
	}
	j, err := r.createJob(t, f.ID, "", nil)
	if err != nil {
		r.t.Fatal(err)
	}
	return j
}

// itemText returns a valid line with a custom_id.
func itemText(id string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":{"max_tokens":10,"messages":[{"content":"a"}]}}`+"\n", id)
}

// fileText returns a file of n valid lines.
func fileText(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(itemText(fmt.Sprint("id-", i)))
	}
	return b.String()
}

// outcomesOf returns a line for each item in a job's result file: number, custom_id, outcome, attempts if more than one, and error code.
func outcomesOf(t *testing.T, j *job) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(j.dir, resultName))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for l := range bytes.Lines(text) {
		var o Outcome
		if err := json.Unmarshal(l, &o); err != nil {
			t.Fatal(err)
		}
		code := ""
		if o.Attempts > 1 {
			code = fmt.Sprintf("(%d attempts) ", o.Attempts)
		}
		if o.Error != nil {
			code += o.Error.Code
		}
		got = append(got, strings.TrimSpace(fmt.Sprintf("%d %s %s %s", o.Line, o.CustomID, o.Outcome, code)))
	}
	return got
}

// checkEqual reports the difference between two values as an error.
func checkEqual(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// serve ends an attempt with a complete response.
func (a *attempt) serve() {
	_ = a.WriteBody([]byte(`data: {"choices":[{"delta":{"content":"hi"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"))
	_ = a.Finish(true)
}

func TestEveryItemHasOneOutcome(t *testing.T) {
	r := newHarness(t, t.TempDir(), nil)
	j := r.job(itemText("a") + "not JSON\n\n" + itemText("b") + `{"custom_id":"c","method":"GET"}` + "\n" +
		strings.Repeat("x", 1200) + "\n" + itemText("d") + strings.TrimSpace(itemText("e")))
	out := r.after(0)
	checkEqual(t, "submitted", 4, len(out))
	out[0].serve()
	out[1].Reject(dispatch.VerdictFailed, 0)
	out[1].serve() // a second end is ignored
	out[2].Reject(dispatch.VerdictRejected, time.Minute)
	_ = out[3].Finish(false) // an incomplete stream; the item is retried
	retried := r.after(time.Second)
	checkEqual(t, "submitted again", 1, len(retried))
	retried[0].serve()
	checkEqual(t, "status", "completed", j.status())
	if j.done != nil || j.events != nil || j.input != nil {
		t.Error("a completed job keeps state that only an unfinished one needs")
	}
	checkEqual(t, "result", []string{
		"1 a served", "2  failed invalid_line", "3 b failed timed_out", "4 c failed invalid_line",
		"5  failed line_too_long", "6 d refused declined", "7 e served (2 attempts)",
	}, outcomesOf(t, j))
}

func TestRejectionsReduceTheTeamsConcurrency(t *testing.T) {
	// Rejected items are retried after their Retry-After and not earlier, and fewer at a time: a batch must not overload engines that
	// have just started.
	r := newHarness(t, t.TempDir(), nil)
	r.job(fileText(9))
	out := r.after(0)
	checkEqual(t, "in flight", 4, len(out))
	for _, a := range out[:3] {
		a.Reject(dispatch.VerdictRejected, 2*time.Second)
	}
	checkEqual(t, "while one is in flight", 0, len(r.after(time.Second)))
	out[3].Reject(dispatch.VerdictRejected, 2*time.Second)
	checkEqual(t, "after four rejections", 1, len(r.after(time.Second-1)))
	r.submitted[0].serve()
	next := r.after(time.Second)
	checkEqual(t, "after a response", 2, len(next))
	checkEqual(t, "a retry goes first", "id-0", next[0].item.customID)
}

func TestItemIsRetriedUntilItsDeadline(t *testing.T) {
	r := newHarness(t, t.TempDir(), func(k *Contract) { k.MaxConcurrent = 1 })
	j := r.job(fileText(1))
	for attempts := 0; attempts < 7; attempts++ {
		out := r.after(3 * time.Second)
		if len(out) != 1 {
			break
		}
		checkEqual(t, "timeout", min(12*time.Second, 20*time.Second-time.Duration(attempts)*3*time.Second), out[0].item.request.Timeout)
		out[0].Reject(dispatch.VerdictRejected, 3*time.Second)
	}
	checkEqual(t, "result", []string{"1 id-0 refused (7 attempts) declined"}, outcomesOf(t, j))
}

func TestSameFileIsTheSameJobAcrossRestarts(t *testing.T) {
	// A file that is submitted again, also after a restart, must not be run twice.
	dir := t.TempDir()
	r := newHarness(t, dir, nil)
	j := r.job(fileText(2))
	checkEqual(t, "second submission", true, r.job(fileText(2)) == j)
	for _, a := range r.after(0) {
		a.serve()
	}
	checkEqual(t, "third submission", true, r.job(fileText(2)) == j)
	restarted := newHarness(t, dir, nil)
	checkEqual(t, "after a restart", "completed", restarted.job(fileText(2)).status())
	checkEqual(t, "submitted", 0, len(restarted.after(0)))
	if _, err := restarted.createJob(restarted.teams[key], j.record.ID, "doc-lookup", nil); err == nil {
		t.Error("no conflict for the same file with another class")
	}
}

func TestRestartRunsOnlyItemsWithoutAnOutcome(t *testing.T) {
	// A process that dies leaves items without an outcome, and possibly an incomplete line in the outcomes file. These items are run
	// again, and items with an outcome are not.
	dir := t.TempDir()
	r := newHarness(t, dir, nil)
	j := r.job(fileText(5))
	out := r.after(0)
	out[1].serve()
	out[2].Reject(dispatch.VerdictFailed, 0)
	path := filepath.Join(j.dir, outcomesName)
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.WriteString(`{"line":1,"custom_id":"id-0","outc`)
	if err := errors.Join(err, f.Close()); err != nil {
		t.Fatal(err)
	}
	restarted := newHarness(t, dir, nil)
	var ids []string
	for _, a := range restarted.after(0) {
		ids = append(ids, a.item.customID)
		a.serve()
	}
	checkEqual(t, "run again", []string{"id-0", "id-3", "id-4"}, ids)
	checkEqual(t, "result", []string{"1 id-0 served", "2 id-1 served", "3 id-2 failed timed_out", "4 id-3 served", "5 id-4 served"},
		outcomesOf(t, restarted.teams[key].jobs[j.record.ID]))
}

func TestStopSubmitsNoMoreItems(t *testing.T) {
	r := newHarness(t, t.TempDir(), nil)
	j := r.job(fileText(6))
	out := r.after(0)
	r.Stop()
	for _, a := range out {
		a.serve()
	}
	checkEqual(t, "submitted while stopping", 0, len(r.after(time.Second)))
	checkEqual(t, "items remaining", 2, j.remaining)
}

func TestCancelRecordsAnOutcomeForEveryItem(t *testing.T) {
	r := newHarness(t, t.TempDir(), nil)
	j := r.job(fileText(6))
	out := r.after(0)
	out[0].serve()
	if err := r.cancelJob(j); err != nil {
		t.Fatal(err)
	}
	checkEqual(t, "withdrawn", 3, len(r.after(0)))
	out[1].serve() // too late
	checkEqual(t, "status", "cancelled", j.status())
	checkEqual(t, "served, failed", []int{1, 5}, []int{j.counts[outcomeServed], j.counts[outcomeFailed]})
	checkEqual(t, "in flight", 0, r.teams[key].inFlight)
	if err := r.cancelJob(j); err == nil {
		t.Error("a batch that has ended was cancelled")
	}
}

func TestCancelOfAJobThatCompletesMeanwhile(t *testing.T) {
	// Cancelling the last remaining item completes the job while cancelItems still iterates over its items.
	r := newHarness(t, t.TempDir(), nil)
	j := r.job(fileText(4))
	out := r.after(0)
	out[1].serve()
	out[3].serve()
	out[0].Reject(dispatch.VerdictRejected, time.Second)
	r.after(time.Second)
	if err := r.cancelJob(j); err != nil {
		t.Fatal(err)
	}
	r.after(0)
	checkEqual(t, "result", []string{"1 id-0 failed (2 attempts) cancelled", "2 id-1 served", "3 id-2 failed cancelled", "4 id-3 served"},
		outcomesOf(t, j))
}

func TestJobIsSuspendedWhenTheSpoolCannotBeWritten(t *testing.T) {
	// A full disk must not lose or repeat an outcome: the job is suspended, and the next start resumes it.
	dir := t.TempDir()
	r := newHarness(t, dir, nil)
	j := r.job(fileText(3))
	out := r.after(0)
	out[0].serve()
	_ = j.outcomes.Close()
	out[1].serve()
	checkEqual(t, "status", "failed", j.status())
	checkEqual(t, "submitted", 0, len(r.after(time.Second)))
	checkEqual(t, "resumed", 2, len(newHarness(t, dir, nil).after(0)))
}

func TestResponseThatIsTooLongFailsTheItem(t *testing.T) {
	r := newHarness(t, t.TempDir(), nil)
	j := r.job(fileText(1))
	a := r.after(0)[0]
	a.response.maxBytes = 3
	if a.WriteBody([]byte(`data: {"choices":[{"delta":{"content":"long"}}]}`+"\n\n")) == nil {
		t.Error("no error")
	}
	checkEqual(t, "result", []string{"1 id-0 failed answer_too_long"}, outcomesOf(t, j))
}

func TestItemsGoToTheServiceOfTheirContract(t *testing.T) {
	// The pool is selected by the service of the contract or by the routes of the batch host. An item whose route was removed fails.
	directoryOf := func(names ...string) *directory.Directory {
		var services []route.Service
		routes := []route.Route{{Service: names[0], Host: directory.BatchHost, Method: "POST"}}
		var pools []*directory.Pool
		for i, n := range names {
			services = append(services, route.Service{Name: n, Pools: []route.WeightedPool{{Pool: n, Weight: 1}}})
			pools = append(pools, &directory.Pool{ID: hoststate.PoolID(i + 1), Name: n, Classes: []policy.Class{{Name: "batch-summary", Deadline: 12 * time.Second}}})
		}
		table, errs := route.New(services, routes, func(name string) (int, bool) { return slices.Index(names, name) + 1, true })
		if len(errs) > 0 {
			t.Fatal(errs)
		}
		return directory.New(table, true, pools...)
	}
	for name, want := range map[string]hoststate.PoolID{"calib": 2, "": 1} {
		r := newHarness(t, t.TempDir(), func(k *Contract) { k.Service, k.MaxConcurrent = name, 1 })
		dir := directoryOf("runs", "calib")
		r.directory = func() *directory.Directory { return dir }
		var pools []hoststate.PoolID
		post := r.post
		r.post = func(e dispatch.Event) {
			if e, ok := e.(dispatch.RequestReceived); ok {
				pools = append(pools, e.Pool)
			}
			post(e)
		}
		j := r.job(fileText(2))
		r.after(0)[0].Reject(dispatch.VerdictFailed, 0)
		if dir = directoryOf("other"); name == "" {
			dir.Table, _ = route.New(nil, nil, nil)
		}
		r.after(0)
		checkEqual(t, "pools", []hoststate.PoolID{want}, pools)
		checkEqual(t, "outcomes", []string{"1 id-0 failed timed_out", "2 id-1 failed no_route"}, outcomesOf(t, j))
	}
}
