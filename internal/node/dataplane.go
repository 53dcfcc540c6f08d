package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"notchhinge/internal/acquirer"
	"notchhinge/internal/broker"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/edge"
	"notchhinge/internal/issuer"
	"notchhinge/internal/limits"
	"notchhinge/internal/pool"
	"notchhinge/internal/retrybudget"
	"notchhinge/internal/service"
	"notchhinge/policy"
)

// data is the data plane of a node: the front, the legs, and a module for each service.
type data struct {
	log     *slog.Logger
	lim     limits.Limits
	grace   time.Duration
	loop    *broker.Loop
	issuer  *issuer.Client
	front   *acquirer.Server
	dialect *edge.Dialect
	list    func(service string) []endpoints.Endpoint
	seed    uint64
	spent   *metrics.Traffic
	zone    string             // this machine's
	repeats retrybudget.Budget // of each service; no Window = there is no such budget
	part    retrybudget.Share  // of the extra that all routers have together, beyond the ratio

	forgot  func()       // told that an engine has forgotten a connection; it must not wait
	careful atomic.Int64 // until then, by the loop's clock, connections that have rested are not for every request
	at      atomic.Pointer[edge.Compiled]
	bounds  atomic.Pointer[limits.RequestBounds] // of the present configuration
	zones   atomic.Pointer[map[string]string]    // of engines, by address
	mu      sync.Mutex                           // one change of configuration or engines at a time
	next    pool.ID
	modules map[pool.ID]*policy.Balancer
	classes map[pool.ID]int
	poke    chan struct{}
}

func newData(log *slog.Logger, lim limits.Limits, grace time.Duration, seed uint64, list func(string) []endpoints.Endpoint) *data {
	d := &data{
		spent: &metrics.Traffic{}, log: log, lim: lim, grace: grace, seed: seed, list: list, next: 1, modules: map[pool.ID]*policy.Balancer{},
		classes: map[pool.ID]int{}, poke: make(chan struct{}, 1),
	}
	unsaid, _ := lim.ConfiguredBounds(0, 0, 0, 0)
	d.bounds.Store(&unsaid)
	d.loop = broker.NewLoop(broker.New(lim), broker.UnixClock(), d.perform)
	d.issuer = issuer.New(issuer.Config{
		Lim: lim, Post: d.loop.Post, Now: d.loop.Now, Dial: d.dial, Dialect: edge.Legs{}, Rest: d.rest, Forgot: func() { d.forgot() },
	})
	d.forgot = d.forgets
	d.dialect = &edge.Dialect{Now: d.at.Load, Salt: seed, Conversation: rand.Uint64, Clock: d.loop.Now}
	d.front = acquirer.New(acquirer.Options{
		Lim: lim, Dialect: d.dialect, Routes: func() *service.Directory { return nil }, Post: d.loop.Post, Now: d.loop.Now,
		Ready: func() bool { return true }, Bounds: func() limits.RequestBounds { return *d.bounds.Load() },
	})
	return d
}

// run turns the loop, and feeds the modules as engines change, until the context is over.
func (d *data) run(ctx context.Context) {
	go d.loop.Run(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.poke:
		}
		if at := d.at.Load(); at != nil {
			d.mu.Lock()
			d.feed(at)
			d.mu.Unlock()
		}
	}
}

// engines says that engines have changed. It does not wait.
func (d *data) engines() {
	select {
	case d.poke <- struct{}{}:
	default:
	}
}

// closer is what every authorisation of this front is.
type closer interface {
	Close(why broker.Verdict, retryAfter time.Duration, mayHaveRun bool)
}

// perform has an effect done by its owner. It does not wait.
func (d *data) perform(e broker.Effect) {
	if d.issuer.Perform(e) {
		return
	}
	switch e := e.(type) {
	case broker.Decline:
		go e.To.(closer).Close(e.Why, e.RetryAfter, e.MayHaveRun)
	case broker.PoolGone:
		go d.ended(e.Pool)
	case broker.Log:
		d.log.Info(e.Line, "service", e.Pool)
	case broker.Counted:
		if to, ok := e.Of.(chan broker.Counted); ok {
			to <- e // it has room
		}
	}
}

func (d *data) ended(id pool.ID) {
	d.issuer.End(id)
	d.front.End(id)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.modules, id)
	delete(d.classes, id)
}

// forgets takes in that engines forget connections that rest.
func (d *data) forgets() { d.careful.Store(int64(d.loop.Now() + limits.StaleConnCaution)) }

// rest is how long a connection may have rested that a request uses which must not run twice; 0 = no matter.
func (d *data) rest() time.Duration {
	if int64(d.loop.Now()) < d.careful.Load() {
		return limits.StaleConnMaxIdle
	}
	return 0
}

// parts takes in how many lives of routers share what may be sent again, as was said to a question of a time; 0 = it was not.
func (d *data) parts(asked time.Duration, lives int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.loop.Now()
	d.part.Update(asked, now, lives)
	extra := d.part.Allowance(now)
	if d.repeats.Window == 0 || extra == d.repeats.Allowance {
		return
	}
	d.repeats.Allowance = extra
	d.loop.Post(broker.RepeatsExtra(extra))
}

// known tells whether any engine is known that a request could go to.
func (d *data) known() bool {
	at := d.at.Load()
	if at == nil {
		return false
	}
	for name := range at.Services() {
		if len(d.list(name)) > 0 {
			return true
		}
	}
	return len(at.Services()) == 0
}
