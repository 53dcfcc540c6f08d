package batch

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"notchhinge/internal/directory"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/limits"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// Options is what a Desk is made of.
type Options struct {
	Config *Config
	Lim    limits.Limits
	Routes func() *directory.Directory // at present
	Post   func(dispatch.Event)
	Now    dispatch.Clock
	Log    *slog.Logger
	Trace  bool // journeys are recorded
}

// Desk owns the jobs of all teams. What a line is to do next is decided in turn, under one lock.
type Desk struct {
	cfg    *Config
	lim    limits.Limits
	routes func() *directory.Directory
	post   func(dispatch.Event)
	now    dispatch.Clock
	log    *slog.Logger
	trace  bool

	mu       sync.Mutex
	teams    map[string]*team // by key
	stopping bool
	wake     chan struct{} // something may be started
}

// team is a contract at work.
type team struct {
	Contract
	jobs   map[string]*job
	queue  []*job  // not at their end, the oldest first
	window float64 // authorisations at once, at present
	out    int
}

// try is a line that was begun and has no outcome yet.
type try struct {
	desk    *Desk
	job     *job
	line    int // counted from 0
	id      string
	body    []byte
	request policy.Request
	class   *policy.Class // of its latest pool
	until   time.Duration // the line's deadline
	tries   int
	waiting bool     // for the reminder to try again
	out     *attempt // in the broker's hands; nil if not
}

// NewDesk takes the jobs of the spool up where they were left.
func NewDesk(o Options) (*Desk, error) {
	d := &Desk{
		cfg: o.Config, lim: o.Lim, routes: o.Routes, post: o.Post, now: o.Now, log: o.Log, trace: o.Trace,
		teams: map[string]*team{}, wake: make(chan struct{}, 1),
	}
	for _, k := range o.Config.Contracts {
		t := &team{Contract: k, jobs: map[string]*job{}, window: float64(k.AtOnce)}
		d.teams[k.key] = t
		if err := d.load(t); err != nil {
			return nil, fmt.Errorf("spool of team %s: %w", t.Team, err)
		}
	}
	return d, nil
}

func (d *Desk) load(t *team) error {
	dir := filepath.Join(d.cfg.Spool, t.Team)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	sweep(dir)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, e := range entries {
		home := filepath.Join(dir, e.Name())
		sweep(home)
		var rec jobRecord
		if err := readJSON(filepath.Join(home, jobName), &rec); errors.Is(err, fs.ErrNotExist) {
			continue
		} else if err != nil {
			return err
		}
		j, err := d.open(t, home, rec)
		if err != nil {
			return err
		}
		t.jobs[rec.ID] = j
		if j.rec.Ended.IsZero() {
			t.queue = append(t.queue, j)
		}
	}
	slices.SortFunc(t.queue, func(x, y *job) int { return x.rec.Created.Compare(y.rec.Created) })
	return nil
}

// wall is the time of day by the clock that never goes back.
func (d *Desk) wall() time.Time { return time.Unix(0, int64(d.now())).UTC() }

// Run starts lines as they may be started until stop is closed.
func (d *Desk) Run(stop <-chan struct{}) {
	d.nudge()
	for {
		select {
		case <-stop:
			return
		case <-d.wake:
		}
		d.mu.Lock()
		d.turn()
		d.mu.Unlock()
	}
}

// Stop begins no more lines. Those that are out get their outcomes; all others keep for the next start.
func (d *Desk) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
}

// Close closes the files of the jobs.
func (d *Desk) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
	for _, t := range d.teams {
		for _, j := range t.jobs {
			j.close()
		}
	}
}

func (d *Desk) nudge() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// turn starts all that may be started now. The lock is held.
func (d *Desk) turn() {
	for _, t := range d.teams {
		for _, j := range slices.Clone(t.queue) {
			if !j.rec.Cancelled.IsZero() {
				d.cancelRest(j)
			}
		}
		for !d.stopping && t.out < int(t.window) {
			w := d.pick(t)
			if w == nil {
				break
			}
			d.start(w)
		}
	}
}

// Due is called when the wait of a declined line is over. The broker keeps it with all other deadlines.
func (w *try) Due() {
	w.desk.mu.Lock()
	defer w.desk.mu.Unlock()
	if w.waiting {
		w.waiting = false
		w.job.ready = append(w.job.ready, w)
		w.desk.nudge()
	}
}

// pick returns the line that is next: of the oldest job, and there one that was declined before a new one.
func (d *Desk) pick(t *team) *try {
	for _, j := range slices.Clone(t.queue) {
		if len(j.ready) > 0 {
			w := j.ready[0]
			j.ready = j.ready[1:]
			return w
		}
		for j.err == nil && j.next < len(j.spans) {
			n := j.next
			j.next++
			if j.done[n] {
				continue
			}
			if w := d.begin(j, n); w != nil {
				return w
			}
		}
	}
	return nil
}

// begin reads a line. One that is not valid has its outcome at once, and nil is returned.
func (d *Desk) begin(j *job, n int) *try {
	err := j.use()
	var text []byte
	if err == nil {
		text, err = readLine(j.input, j.spans[n], d.lim.BatchItemBytes)
	}
	if err != nil {
		d.stall(j, err)
		return nil
	}
	if text == nil {
		d.record(j, n, &Outcome{Outcome: failed, Error: &OutcomeError{"line_too_long", "the line is too long"}})
		return nil
	}
	l, q, body, err := parseLine(text, &j.team.Contract)
	if err == nil && len(body) > d.lim.BodyBytes {
		err = errors.New("body is too large")
	}
	if err != nil {
		d.record(j, n, &Outcome{CustomID: l.CustomID, Outcome: failed, Error: &OutcomeError{"invalid_line", err.Error()}})
		return nil
	}
	q.Session = hash([]byte(j.rec.ID), []byte(l.CustomID))
	w := &try{
		desk: d, job: j, line: n, id: l.CustomID, body: body, request: q, until: d.now() + time.Duration(j.team.LineDeadline),
	}
	j.trying[n] = w
	return w
}

// start hands a line to the broker as an authorisation.
func (d *Desk) start(w *try) {
	now := d.now()
	p, err := d.lead(w)
	if err != nil { // the routes or the pool's classes were changed since the batch was made
		d.record(w.job, w.line, &Outcome{
			CustomID: w.id, Outcome: failed, Tries: w.tries,
			Error: &OutcomeError{"no_route", err.Error()},
		})
		return
	}
	w.request.Timeout = min(w.class.Deadline, w.until-now)
	if w.request.Timeout <= 0 {
		d.giveUp(w)
		return
	}
	w.tries++
	w.out = newAttempt(d, w)
	w.job.team.out++
	d.post(dispatch.RequestReceived{Client: w.out, Pool: p.ID, ReceivedAt: now, Request: w.request, Origin: d.origin(w)})
}

// lead finds the pool that a line goes to: its service's, or that of its route.
func (d *Desk) lead(w *try) (*directory.Pool, error) {
	at, name := d.routes(), w.job.rec.Class
	to := at.BatchTarget(w.job.team.Service, name)
	if to == nil {
		return nil, errors.New("no route takes the line, or its service is gone")
	}
	p := at.PoolFor(to, w.request.Session)
	n, ok := p.ClassIndex(name)
	if !ok {
		return nil, fmt.Errorf("pool %q has no class %q", p.Name, name)
	}
	w.class, w.request.Class = &p.Classes[n], n
	return p, nil
}

// origin gives a line a trace of its own, where journeys are recorded: all its tries are of that, after a restart too.
func (d *Desk) origin(w *try) *trace.Origin {
	if !d.trace {
		return nil
	}
	o := &trace.Origin{Front: "batch", Team: w.job.team.Team, CallID: w.out.order.CallID, Retry: w.tries > 1}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", w.job.rec.ID, w.line))
	copy(o.Trace[:], sum[:])
	return o
}

func (d *Desk) giveUp(w *try) {
	d.record(w.job, w.line, &Outcome{
		CustomID: w.id, Outcome: refused, Tries: w.tries,
		Error: &OutcomeError{"declined", "declined until the line's deadline"},
	})
}

// ended takes the end of an attempt; each has one. The rest of the turn follows from it.
func (d *Desk) ended(a *attempt, how end) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := a.try
	if w.out != a {
		return // called off
	}
	w.out = nil
	t := w.job.team
	t.out--
	again := how.retryAfter
	switch how.kind {
	case endServed:
		t.window = min(t.window+1/t.window, float64(t.AtOnce))
		d.record(w.job, w.line, &Outcome{
			CustomID: w.id, Outcome: served, Tries: w.tries,
			Response: &Response{StatusCode: 200, RequestID: a.order.CallID, Body: how.body},
		})
	case endFailed:
		d.record(w.job, w.line, &Outcome{
			CustomID: w.id, Outcome: failed, Tries: w.tries,
			Error: &OutcomeError{how.code, how.reason},
		})
	case endRefused:
		t.window = max(t.window/2, 1) // what is declined must not be asked for at the same pace
		fallthrough
	case endBroken:
		if again <= 0 {
			again = d.lim.BatchRetryDelay
		}
		if at := d.now() + again; at < w.until {
			w.waiting = true
			d.post(dispatch.SetReminder{At: at, Token: w})
		} else {
			d.giveUp(w)
		}
	}
	d.nudge()
}

// record writes the one outcome of a line down. A job whose last line it was is at its end.
func (d *Desk) record(j *job, n int, o *Outcome) {
	if j.done == nil || j.done[n] || j.err != nil {
		return
	}
	delete(j.trying, n)
	o.Line = n + 1
	b, err := json.Marshal(o)
	if err == nil {
		err = j.use()
	}
	if err == nil {
		_, err = j.outcomes.Write(append(b, '\n'))
	}
	if err != nil {
		d.stall(j, err)
		return
	}
	j.count(o)
	if j.left > 0 {
		return
	}
	if err := d.finish(j); err != nil {
		d.stall(j, err)
	}
}

func (d *Desk) finish(j *job) error {
	if err := j.use(); err != nil {
		return err
	}
	if err := errors.Join(j.outcomes.Sync(), result(j.dir)); err != nil {
		return err
	}
	j.rec.Ended = d.wall()
	if err := writeJSON(filepath.Join(j.dir, jobName), j.rec); err != nil {
		return err
	}
	j.close()
	j.leave()
	j.shrink()
	j.tell()
	return nil
}

// stall takes a job whose files cannot be read or written out of work. The next start takes it up again.
func (d *Desk) stall(j *job, err error) {
	d.log.Error("batch stalled", "batch", j.rec.ID, "err", err)
	j.err = err
	for _, w := range j.trying {
		d.callOff(w)
	}
	j.leave()
	j.tell()
}

// callOff takes a line back from the broker or from its wait.
func (d *Desk) callOff(w *try) {
	w.waiting = false
	if a := w.out; a != nil {
		w.out = nil
		w.job.team.out--
		d.post(dispatch.ClientLeft{Client: a})
	}
	delete(w.job.trying, w.line)
}

// cancelRest gives every line without one its outcome: cancelled.
func (d *Desk) cancelRest(j *job) {
	tries := map[int]int{}
	for _, w := range j.trying {
		tries[w.line] = w.tries
		d.callOff(w)
	}
	j.ready = nil
	done := j.done // the job lets go of it at its end
	for n := range done {
		if !done[n] {
			d.record(j, n, &Outcome{
				CustomID: j.customID(n, d.lim.BatchItemBytes), Outcome: failed, Tries: tries[n],
				Error: &OutcomeError{"cancelled", "the batch was cancelled"},
			})
		}
	}
}

// create makes a job of a file, or returns the one that there is.
func (d *Desk) create(t *team, fileID, class string, metadata map[string]string) (*job, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if class == "" {
		class = t.Classes[0]
	}
	if !slices.Contains(t.Classes, class) {
		return nil, &problem{
			status: 400, code: "unknown_class", param: "metadata.class",
			text: fmt.Sprintf("class %q is not in the contract", class),
		}
	}
	home := filepath.Join(d.cfg.Spool, t.Team, fileID)
	var file fileRecord
	if !plain(fileID) || readJSON(filepath.Join(home, fileName), &file) != nil {
		return nil, &problem{status: 404, code: "no_such_file", param: "input_file_id", text: "no such file"}
	}
	if old := t.jobs[fileID]; old != nil {
		if old.rec.Class != class {
			return nil, &problem{
				status: 409, code: "other_batch", param: "metadata.class",
				text: "this file is a batch already, of class " + old.rec.Class,
			}
		}
		return old, nil
	}
	if d.stopping {
		return nil, &problem{status: 503, code: "stopping", text: "the router is stopping"}
	}
	if len(t.queue) >= d.lim.BatchJobsPerTeam {
		return nil, &problem{
			status: 429, code: "too_many_batches", text: "too many batches of this team are not at their end",
			retryAfter: d.lim.BatchRetryDelay,
		}
	}
	now := d.wall()
	left, free := d.budget(t, now)
	if file.Tokens > left {
		p := &problem{
			status: 429, code: "budget_spent",
			text: fmt.Sprintf("the file needs %d tokens; %d are left of the budget", file.Tokens, max(left, 0)),
		}
		if file.Tokens <= t.BudgetTokens {
			p.retryAfter = free
		}
		return nil, p
	}
	rec := jobRecord{ID: fileID, FileID: fileID, Class: class, Metadata: metadata, Created: now}
	if err := writeJSON(filepath.Join(home, jobName), rec); err != nil {
		return nil, err
	}
	j, err := d.open(t, home, rec)
	if err != nil {
		return nil, err
	}
	t.jobs[fileID] = j
	t.queue = append(t.queue, j)
	d.nudge()
	return j, nil
}

// budget tells what is left of a team's budget, and how long until some of it is free again.
func (d *Desk) budget(t *team, now time.Time) (left int64, free time.Duration) {
	left, free = t.BudgetTokens, time.Duration(t.BudgetPeriod)
	for _, j := range t.jobs {
		if age := now.Sub(j.rec.Created); age < time.Duration(t.BudgetPeriod) {
			left -= j.file.Tokens
			free = min(free, time.Duration(t.BudgetPeriod)-age)
		}
	}
	return left, free
}

// cancel ends a job early.
func (d *Desk) cancel(j *job) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !j.rec.Ended.IsZero() {
		return &problem{status: 409, code: "batch_ended", text: "the batch is at its end"}
	}
	if j.rec.Cancelled.IsZero() {
		rec := j.rec
		rec.Cancelled = d.wall()
		if err := writeJSON(filepath.Join(j.dir, jobName), rec); err != nil {
			return err
		}
		j.rec.Cancelled = rec.Cancelled
		d.nudge()
	}
	return nil
}
