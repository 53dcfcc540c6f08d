package node

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"notchhinge/internal/acquirer"
	"notchhinge/internal/broker"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/edge"
	"notchhinge/internal/issuer"
	"notchhinge/internal/limits"
	"notchhinge/internal/pool"
	"notchhinge/internal/service"
	"notchhinge/internal/share"
	"notchhinge/policy"

	"golang.org/x/sys/unix"
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
	list    func(service string) []endpoints.Engine
	seed    uint64
	spent   *metrics.Book
	zone    string        // this machine's
	repeats share.Repeats // of each service; no Window = there is no such budget
	part    share.Part    // of the extra that all routers have together, beyond the ratio

	forgot  func()       // told that an engine has forgotten a connection; it must not wait
	careful atomic.Int64 // until then, by the loop's clock, connections that have rested are not for every request
	at      atomic.Pointer[edge.Compiled]
	bounds  atomic.Pointer[limits.Bounds]     // of the present configuration
	zones   atomic.Pointer[map[string]string] // of engines, by address
	mu      sync.Mutex                        // one change of configuration or engines at a time
	next    pool.ID
	modules map[pool.ID]*policy.Balancer
	classes map[pool.ID]int
	poke    chan struct{}
}

func newData(log *slog.Logger, lim limits.Limits, grace time.Duration, seed uint64, list func(string) []endpoints.Engine) *data {
	d := &data{
		spent: &metrics.Book{}, log: log, lim: lim, grace: grace, seed: seed, list: list, next: 1, modules: map[pool.ID]*policy.Balancer{},
		classes: map[pool.ID]int{}, poke: make(chan struct{}, 1),
	}
	unsaid, _ := lim.Declared(0, 0, 0, 0)
	d.bounds.Store(&unsaid)
	d.loop = broker.NewLoop(broker.New(lim), broker.UnixClock(), d.perform)
	d.issuer = issuer.New(issuer.Config{
		Lim: lim, Post: d.loop.Post, Now: d.loop.Now, Dial: d.dial, Dialect: edge.Legs{}, Rest: d.rest, Forgot: func() { d.forgot() },
	})
	d.forgot = d.forgets
	d.dialect = &edge.Dialect{Now: d.at.Load, Salt: seed, Conversation: rand.Uint64, Clock: d.loop.Now}
	d.front = acquirer.New(acquirer.Options{
		Lim: lim, Dialect: d.dialect, Routes: func() *service.Directory { return nil }, Post: d.loop.Post, Now: d.loop.Now,
		Ready: func() bool { return true }, Bounds: func() limits.Bounds { return *d.bounds.Load() },
	})
	return d
}

// dial opens a connection to an engine, and has it counted.
func (d *data) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{KeepAlive: -1, Control: unheard}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	zone := d.zone
	if all := d.zones.Load(); all != nil {
		zone = cmp.Or((*all)[addr], zone)
	}
	return d.spent.Counted(metrics.Engines, c, zone != d.zone), nil
}

// unheard has a connection end once what was sent on it has not even been received for so long: a machine that is dark or cut
// off does not acknowledge, one that is merely slow does.
func unheard(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) { // where a kernel does not know it, requests wait for their deadlines as they would without
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limits.NodeUnheard.Milliseconds()))
	})
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

// apply takes a configuration over, if it is newer than the present one. Requests that have begun keep theirs.
func (d *data) apply(place uint64, c *fleetconfig.Config) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.at.Load()
	if old != nil && old.Place >= place {
		return nil
	}
	var before map[string]*edge.Service
	if old != nil {
		before = old.Services()
	}
	next, err := edge.Compile(c, place, before, &d.next, func() { time.Sleep(limits.NodeBreath) })
	if err != nil {
		return err
	}
	for _, s := range next.Services() {
		if err := d.set(s); err != nil {
			return err
		}
	}
	l := &c.Limits
	bounds, less := d.lim.Declared(l.HeaderBytes, l.BodyBytes, fleetconfig.Millis(l.HeaderMS), fleetconfig.Millis(l.IdleMS))
	if less {
		d.log.Warn("request_limits are above what this machine holds", "max_header_bytes", bounds.HeaderBytes, "max_body_bytes",
			bounds.BodyBytes, "header_timeout", bounds.HeadWait.String(), "idle_timeout", bounds.IdleWait.String())
	}
	d.bounds.Store(&bounds)
	d.at.Store(next)
	for name, s := range before {
		if next.Services()[name] == nil {
			d.loop.Post(broker.PoolEnd{Pool: s.ID})
		}
	}
	d.feed(next)
	d.log.Info("configuration in force", "revision", c.Revision, "place", place, "routes", len(c.Routes), "services", len(c.Services))
	return nil
}

// set makes a service's module, or gives it the classes that it lacks.
func (d *data) set(s *edge.Service) error {
	m := d.modules[s.ID]
	if m != nil && d.classes[s.ID] == len(s.Classes) {
		return nil
	}
	classes := s.Classes
	if len(classes) == 0 { // no route leads to it yet
		classes = []policy.Class{{Name: "none", Aim: time.Second, Deadline: time.Second, Worth: 1}}
	}
	if m != nil && d.classes[s.ID] > 0 {
		d.loop.Post(broker.Classes{Pool: s.ID, Classes: classes})
		d.classes[s.ID] = len(s.Classes)
		return nil
	}
	m, err := policy.New(edge.Settings(classes, d.grace, d.lim.Attempts), d.seed^uint64(s.ID))
	if err != nil {
		return err
	}
	d.modules[s.ID], d.classes[s.ID] = m, len(s.Classes)
	d.issuer.Set(s.ID, issuer.Reports{}, share.Claim{})
	d.front.Set(s.ID, share.Claim{}, share.Claim{})
	e := broker.PoolSet{
		Pool: s.ID, Name: s.Name, Module: m, WarmUp: edge.WarmUp, ColdFrom: edge.ColdFrom, Attempts: d.lim.Attempts, RetryAfter: d.lim.SpareAnswer,
	}
	if d.repeats.Window > 0 {
		own := d.repeats
		e.Repeats = &own
	}
	d.loop.Post(e)
	return nil
}

// forgets takes in that engines forget connections that rest.
func (d *data) forgets() { d.careful.Store(int64(d.loop.Now() + limits.NodeForgets)) }

// rest is how long a connection may have rested that a request uses which must not run twice; 0 = no matter.
func (d *data) rest() time.Duration {
	if int64(d.loop.Now()) < d.careful.Load() {
		return limits.NodeRest
	}
	return 0
}

// parts takes in how many lives of routers share what may be sent again, as was said to a question of a time; 0 = it was not.
func (d *data) parts(asked time.Duration, lives int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.loop.Now()
	d.part.Told(asked, now, lives)
	extra := d.part.At(now)
	if d.repeats.Window == 0 || extra == d.repeats.Extra {
		return
	}
	d.repeats.Extra = extra
	d.loop.Post(broker.RepeatsExtra(extra))
}

// feed tells the modules which engines there are. The lock is held.
func (d *data) feed(at *edge.Compiled) {
	now, clock := time.Now().UnixMilli(), d.loop.Now()
	zones := map[string]string{}
	defer func() { d.zones.Store(&zones) }()
	for name, s := range at.Services() {
		l := broker.Listed{Pool: s.ID, Kind: policy.ListFull}
		for _, e := range d.list(name) {
			zones[e.Addr] = e.Zone
			h := broker.Host{Name: e.ID, Dial: e.Addr, Weight: 1}
			if e.State == endpoints.Draining {
				h.State = policy.Draining
			}
			if left := time.Duration(e.WarmAt-now) * time.Millisecond; left > 0 {
				h.BornAt = clock + min(left, edge.WarmUp) - edge.WarmUp
			}
			l.Hosts = append(l.Hosts, h)
		}
		d.loop.Post(l)
	}
}

// engines says that engines have changed. It does not wait.
func (d *data) engines() {
	select {
	case d.poke <- struct{}{}:
	default:
	}
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
