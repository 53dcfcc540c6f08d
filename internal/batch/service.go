package batch

import (
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
)

// Options are the configuration and the dependencies of a Service.
type Options struct {
	Config    *Config
	Limits    limits.Limits
	Directory func() *directory.Directory // returns the current directory
	Post      func(dispatch.Event)        // posts an event to the dispatcher
	Now       dispatch.Clock
	Log       *slog.Logger
	IsTracing bool // items have traces
}

// Service owns the jobs of all teams and schedules their items under one lock.
type Service struct {
	cfg       *Config
	limits    limits.Limits
	directory func() *directory.Directory
	post      func(dispatch.Event)
	now       dispatch.Clock
	log       *slog.Logger
	isTracing bool

	wake  chan struct{}    // capacity 1; signals that there may be items to submit
	teams map[string]*team // by API key; the map does not change after New

	mu         sync.Mutex // guards isStopping and the state of the teams
	isStopping bool
}

// team is the state of one contract.
type team struct {
	Contract
	jobs     map[string]*job
	queue    []*job  // unfinished jobs, oldest first
	window   float64 // largest number of attempts in flight, from 1 to MaxConcurrent
	inFlight int     // number of attempts in flight
}

// New returns a Service with the jobs of the spool.
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

// loadJobs opens the jobs in a team's spool directory.
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
		jobDir := filepath.Join(dir, e.Name())
		removeTemporaryFiles(jobDir)
		var rec jobRecord
		if err := readJSON(filepath.Join(jobDir, jobName), &rec); errors.Is(err, fs.ErrNotExist) {
			continue // an uploaded file without a job
		} else if err != nil {
			return err
		}
		j, err := s.openJob(t, jobDir, rec)
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

// Run submits items when the teams' windows allow it, until stop is closed.
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

// Stop ends the submission of items. Items in flight still get their outcomes; the others resume at the next start of the process.
func (s *Service) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isStopping = true
}

// Close stops the service and closes the files of its jobs.
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

// wakeScheduler makes Run call schedule again. It does not block.
func (s *Service) wakeScheduler() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// wallTime returns the wall-clock time by the dispatcher's clock, which is monotonic.
func (s *Service) wallTime() time.Time { return time.Unix(0, int64(s.now())).UTC() }
