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
	Config    *Config
	Limits    limits.Limits
	Directory func() *directory.Directory // at present
	Post      func(dispatch.Event)
	Now       dispatch.Clock
	Log       *slog.Logger
	IsTracing bool // journeys are recorded
}

// Service owns the jobs of all teams. What a line is to do next is decided in turn, under one lock.
type Service struct {
	cfg       *Config
	limits    limits.Limits
	directory func() *directory.Directory
	post      func(dispatch.Event)
	now       dispatch.Clock
	log       *slog.Logger
	isTracing bool

	mu         sync.Mutex
	teams      map[string]*team // by key
	isStopping bool
	wake       chan struct{} // something may be started
}

// team is a contract at work.
type team struct {
	Contract
	jobs     map[string]*job
	queue    []*job  // not at their end, the oldest first
	window   float64 // authorisations at once, at present
	inFlight int
}

// item is a line that was begun and has no outcome yet.
type item struct {
	service     *Service
	job         *job
	index       int // counted from 0
	customID    string
	body        []byte
	request     policy.Request
	class       *policy.Class // of its latest pool
	deadline    time.Duration // the line's deadline
	attempts    int
	awaitsRetry bool     // for the reminder to try again
	attempt     *attempt // in the broker's hands; nil if not
}

// New takes the jobs of the spool up where they were left.
func New(o Options) (*Service, error) {
	s := &Service{
		cfg: o.Config, limits: o.Limits, directory: o.Directory, post: o.Post, now: o.Now, log: o.Log, isTracing: o.IsTracing,
		teams: map[string]*team{}, wake: make(chan struct{}, 1),
	}
	for _, k := range o.Config.Contracts {
		t := &team{Contract: k, jobs: map[string]*job{}, window: float64(k.MaxConcurrent)}
		s.teams[k.key] = t
		if err := s.loadJobs(t); err != nil {
			return nil, fmt.Errorf("spool of team %s: %w", t.Team, err)
		}
	}
	return s, nil
}

func (s *Service) loadJobs(t *team) error {
	dir := filepath.Join(s.cfg.Spool, t.Team)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	removeTemporaryFiles(dir)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, e := range entries {
		home := filepath.Join(dir, e.Name())
		removeTemporaryFiles(home)
		var rec jobRecord
		if err := readJSON(filepath.Join(home, jobName), &rec); errors.Is(err, fs.ErrNotExist) {
			continue
		} else if err != nil {
			return err
		}
		j, err := s.openJob(t, home, rec)
		if err != nil {
			return err
		}
		t.jobs[rec.ID] = j
		if j.record.Ended.IsZero() {
			t.queue = append(t.queue, j)
		}
	}
	slices.SortFunc(t.queue, func(x, y *job) int { return x.record.Created.Compare(y.record.Created) })
	return nil
}

// wallTime is the time of day by the clock that never goes back.
func (s *Service) wallTime() time.Time { return time.Unix(0, int64(s.now())).UTC() }

// Run starts lines as they may be started until stop is closed.
func (s *Service) Run(stop <-chan struct{}) {
	s.wakeScheduler()
	for {
		select {
		case <-stop:
			return
		case <-s.wake:
		}
		s.mu.Lock()
		s.schedule()
		s.mu.Unlock()
	}
}

// Stop begins no more lines. Those that are out get their outcomes; all others keep for the next start.
func (s *Service) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isStopping = true
}

// Close closes the files of the jobs.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isStopping = true
	for _, t := range s.teams {
		for _, j := range t.jobs {
			j.closeFiles()
		}
	}
}

func (s *Service) wakeScheduler() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// schedule starts all that may be started now. The lock is held.
func (s *Service) schedule() {
	for _, t := range s.teams {
		for _, j := range slices.Clone(t.queue) {
			if !j.record.Cancelled.IsZero() {
				s.cancelItems(j)
			}
		}
		for !s.isStopping && t.inFlight < int(t.window) {
			it := s.nextItem(t)
			if it == nil {
				break
			}
			s.submit(it)
		}
	}
}

// Due is called when the wait of a declined line is over. The broker keeps it with all other deadlines.
func (it *item) Due() {
	it.service.mu.Lock()
	defer it.service.mu.Unlock()
	if it.awaitsRetry {
		it.awaitsRetry = false
		it.job.ready = append(it.job.ready, it)
		it.service.wakeScheduler()
	}
}

// nextItem returns the line that is next: of the oldest job, and there one that was declined before a new one.
func (s *Service) nextItem(t *team) *item {
	for _, j := range slices.Clone(t.queue) {
		if len(j.ready) > 0 {
			it := j.ready[0]
			j.ready = j.ready[1:]
			return it
		}
		for j.err == nil && j.nextIndex < len(j.spans) {
			n := j.nextIndex
			j.nextIndex++
			if j.done[n] {
				continue
			}
			if it := s.readItem(j, n); it != nil {
				return it
			}
		}
	}
	return nil
}

// readItem reads a line. One that is not valid has its outcome at once, and nil is returned.
func (s *Service) readItem(j *job, n int) *item {
	err := j.openFiles()
	var text []byte
	if err == nil {
		text, err = readItemText(j.input, j.spans[n], s.limits.BatchItemBytes)
	}
	if err != nil {
		s.suspendJob(j, err)
		return nil
	}
	if text == nil {
		s.recordOutcome(j, n, &Outcome{Outcome: outcomeFailed, Error: &OutcomeError{"line_too_long", "the line is too long"}})
		return nil
	}
	l, q, body, err := parseItem(text, &j.team.Contract)
	if err == nil && len(body) > s.limits.BodyBytes {
		err = errors.New("body is too large")
	}
	if err != nil {
		s.recordOutcome(j, n, &Outcome{CustomID: l.CustomID, Outcome: outcomeFailed, Error: &OutcomeError{"invalid_line", err.Error()}})
		return nil
	}
	q.Session = fingerprint([]byte(j.record.ID), []byte(l.CustomID))
	it := &item{
		service: s, job: j, index: n, customID: l.CustomID, body: body, request: q, deadline: s.now() + time.Duration(j.team.ItemDeadline),
	}
	j.started[n] = it
	return it
}

// submit hands a line to the broker as an authorisation.
func (s *Service) submit(it *item) {
	now := s.now()
	p, err := s.selectPool(it)
	if err != nil { // the routes or the pool's classes were changed since the batch was made
		s.recordOutcome(it.job, it.index, &Outcome{
			CustomID: it.customID, Outcome: outcomeFailed, Attempts: it.attempts,
			Error: &OutcomeError{"no_route", err.Error()},
		})
		return
	}
	it.request.Timeout = min(it.class.Deadline, it.deadline-now)
	if it.request.Timeout <= 0 {
		s.recordExpired(it)
		return
	}
	it.attempts++
	it.attempt = newAttempt(s, it)
	it.job.team.inFlight++
	s.post(dispatch.RequestReceived{Client: it.attempt, Pool: p.ID, ReceivedAt: now, Request: it.request, Origin: s.origin(it)})
}

// selectPool finds the pool that a line goes to: its service's, or that of its route.
func (s *Service) selectPool(it *item) (*directory.Pool, error) {
	at, name := s.directory(), it.job.record.Class
	to := at.BatchTarget(it.job.team.Service, name)
	if to == nil {
		return nil, errors.New("no route takes the line, or its service is gone")
	}
	p := at.PoolFor(to, it.request.Session)
	n, ok := p.ClassIndex(name)
	if !ok {
		return nil, fmt.Errorf("pool %q has no class %q", p.Name, name)
	}
	it.class, it.request.Class = &p.Classes[n], n
	return p, nil
}

// origin gives a line a trace of its own, where journeys are recorded: all its tries are of that, after a restart too.
func (s *Service) origin(it *item) *trace.Origin {
	if !s.isTracing {
		return nil
	}
	o := &trace.Origin{Front: "batch", Team: it.job.team.Team, CallID: it.attempt.request.CallID, Retry: it.attempts > 1}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", it.job.record.ID, it.index))
	copy(o.Trace[:], sum[:])
	return o
}

func (s *Service) recordExpired(it *item) {
	s.recordOutcome(it.job, it.index, &Outcome{
		CustomID: it.customID, Outcome: outcomeRefused, Attempts: it.attempts,
		Error: &OutcomeError{"declined", "declined until the line's deadline"},
	})
}

// finishAttempt takes the end of an attempt; each has one. The rest of the turn follows from it.
func (s *Service) finishAttempt(a *attempt, how attemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := a.item
	if it.attempt != a {
		return // called off
	}
	it.attempt = nil
	t := it.job.team
	t.inFlight--
	again := how.retryAfter
	switch how.kind {
	case resultServed:
		t.window = min(t.window+1/t.window, float64(t.MaxConcurrent))
		s.recordOutcome(it.job, it.index, &Outcome{
			CustomID: it.customID, Outcome: outcomeServed, Attempts: it.attempts,
			Response: &Response{StatusCode: 200, RequestID: a.request.CallID, Body: how.body},
		})
	case resultFailed:
		s.recordOutcome(it.job, it.index, &Outcome{
			CustomID: it.customID, Outcome: outcomeFailed, Attempts: it.attempts,
			Error: &OutcomeError{how.code, how.reason},
		})
	case resultRejected:
		t.window = max(t.window/2, 1) // what is declined must not be asked for at the same pace
		fallthrough
	case resultBroken:
		if again <= 0 {
			again = s.limits.BatchRetryDelay
		}
		if at := s.now() + again; at < it.deadline {
			it.awaitsRetry = true
			s.post(dispatch.SetReminder{At: at, Token: it})
		} else {
			s.recordExpired(it)
		}
	}
	s.wakeScheduler()
}

// recordOutcome writes the one outcome of a line down. A job whose last line it was is at its end.
func (s *Service) recordOutcome(j *job, n int, o *Outcome) {
	if j.done == nil || j.done[n] || j.err != nil {
		return
	}
	delete(j.started, n)
	o.Line = n + 1
	b, err := json.Marshal(o)
	if err == nil {
		err = j.openFiles()
	}
	if err == nil {
		_, err = j.outcomes.Write(append(b, '\n'))
	}
	if err != nil {
		s.suspendJob(j, err)
		return
	}
	j.addOutcome(o)
	if j.remaining > 0 {
		return
	}
	if err := s.completeJob(j); err != nil {
		s.suspendJob(j, err)
	}
}

func (s *Service) completeJob(j *job) error {
	if err := j.openFiles(); err != nil {
		return err
	}
	if err := errors.Join(j.outcomes.Sync(), writeResult(j.dir)); err != nil {
		return err
	}
	j.record.Ended = s.wallTime()
	if err := writeJSON(filepath.Join(j.dir, jobName), j.record); err != nil {
		return err
	}
	j.closeFiles()
	j.dequeue()
	j.releaseState()
	j.notify()
	return nil
}

// suspendJob takes a job whose files cannot be read or written out of work. The next start takes it up again.
func (s *Service) suspendJob(j *job, err error) {
	s.log.Error("batch stalled", "batch", j.record.ID, "err", err)
	j.err = err
	for _, w := range j.started {
		s.withdraw(w)
	}
	j.dequeue()
	j.notify()
}

// withdraw takes a line back from the broker or from its wait.
func (s *Service) withdraw(it *item) {
	it.awaitsRetry = false
	if a := it.attempt; a != nil {
		it.attempt = nil
		it.job.team.inFlight--
		s.post(dispatch.ClientLeft{Client: a})
	}
	delete(it.job.started, it.index)
}

// cancelItems gives every line without one its outcome: cancelled.
func (s *Service) cancelItems(j *job) {
	tries := map[int]int{}
	for _, it := range j.started {
		tries[it.index] = it.attempts
		s.withdraw(it)
	}
	j.ready = nil
	done := j.done // the job lets go of it at its end
	for n := range done {
		if !done[n] {
			s.recordOutcome(j, n, &Outcome{
				CustomID: j.customID(n, s.limits.BatchItemBytes), Outcome: outcomeFailed, Attempts: tries[n],
				Error: &OutcomeError{"cancelled", "the batch was cancelled"},
			})
		}
	}
}

// createJob makes a job of a file, or returns the one that there is.
func (s *Service) createJob(t *team, fileID, class string, metadata map[string]string) (*job, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if class == "" {
		class = t.Classes[0]
	}
	if !slices.Contains(t.Classes, class) {
		return nil, &apiError{
			status: 400, code: "unknown_class", param: "metadata.class",
			message: fmt.Sprintf("class %q is not in the contract", class),
		}
	}
	home := filepath.Join(s.cfg.Spool, t.Team, fileID)
	var file fileRecord
	if !isPlainName(fileID) || readJSON(filepath.Join(home, fileName), &file) != nil {
		return nil, &apiError{status: 404, code: "no_such_file", param: "input_file_id", message: "no such file"}
	}
	if old := t.jobs[fileID]; old != nil {
		if old.record.Class != class {
			return nil, &apiError{
				status: 409, code: "other_batch", param: "metadata.class",
				message: "this file is a batch already, of class " + old.record.Class,
			}
		}
		return old, nil
	}
	if s.isStopping {
		return nil, &apiError{status: 503, code: "stopping", message: "the router is stopping"}
	}
	if len(t.queue) >= s.limits.BatchJobsPerTeam {
		return nil, &apiError{
			status: 429, code: "too_many_batches", message: "too many batches of this team are not at their end",
			retryAfter: s.limits.BatchRetryDelay,
		}
	}
	now := s.wallTime()
	left, free := s.budget(t, now)
	if file.Tokens > left {
		p := &apiError{
			status: 429, code: "budget_spent",
			message: fmt.Sprintf("the file needs %d tokens; %d are left of the budget", file.Tokens, max(left, 0)),
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
	j, err := s.openJob(t, home, rec)
	if err != nil {
		return nil, err
	}
	t.jobs[fileID] = j
	t.queue = append(t.queue, j)
	s.wakeScheduler()
	return j, nil
}

// budget tells what is left of a team's budget, and how long until some of it is free again.
func (s *Service) budget(t *team, now time.Time) (left int64, free time.Duration) {
	left, free = t.BudgetTokens, time.Duration(t.BudgetPeriod)
	for _, j := range t.jobs {
		if age := now.Sub(j.record.Created); age < time.Duration(t.BudgetPeriod) {
			left -= j.file.Tokens
			free = min(free, time.Duration(t.BudgetPeriod)-age)
		}
	}
	return left, free
}

// cancelJob ends a job early.
func (s *Service) cancelJob(j *job) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !j.record.Ended.IsZero() {
		return &apiError{status: 409, code: "batch_ended", message: "the batch is at its end"}
	}
	if j.record.Cancelled.IsZero() {
		rec := j.record
		rec.Cancelled = s.wallTime()
		if err := writeJSON(filepath.Join(j.dir, jobName), rec); err != nil {
			return err
		}
		j.record.Cancelled = rec.Cancelled
		s.wakeScheduler()
	}
	return nil
}
