package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"notchhinge/internal/boot"
	"notchhinge/internal/broker"
	"notchhinge/internal/control/account"
	"notchhinge/internal/control/ballot"
	"notchhinge/internal/control/chain"
	"notchhinge/internal/control/declared"
	"notchhinge/internal/control/duty"
	"notchhinge/internal/control/form"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/platform"
	"notchhinge/internal/control/roster"
	"notchhinge/internal/limits"
)

// counter counts what a router owes word of: which requests began, by tenant and window.
type counter struct {
	length time.Duration
	source uint64 // this life
	zone   string

	mu    sync.Mutex
	tally duty.Tally
	told  map[uint64]*duty.Told // by keeper
}

// began counts a request.
func (c *counter) began(tenant string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Add(duty.Window(time.Now(), c.length), tenant, 1)
}

// reports tells keepers what this router has counted, and how much it has at engines, until the context is over.
func (n *Node) reports(ctx context.Context, c *counter) {
	tick := time.NewTicker(limits.NodeReport)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n.report(ctx, c)
	}
}

// report makes one report to every keeper.
func (n *Node) report(ctx context.Context, c *counter) {
	p := duty.Report{Source: c.source, Zone: c.zone}
	counted := make(chan broker.Counted, 1)
	n.data.loop.Post(broker.Audit{Of: counted})
	select {
	case x := <-counted:
		for _, s := range x.Pools {
			p.Loads = append(p.Loads, duty.Load{Service: s.Name, Running: uint64(s.Open) * 100, Arrived: uint64(s.Taken)})
		}
	case <-ctx.Done():
		return
	}
	keepers := n.news.keepers()
	before := duty.Window(time.Now().Add(-limits.NodeUsageKept), c.length)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Forget(before)
	for _, k := range keepers {
		told := c.told[k.ID]
		if told == nil {
			told = &duty.Told{}
			c.told[k.ID] = told
		}
		told.Forget(before)
		p.Tally = told.Rest(&c.tally)
		sent, text := p.Tally, p.Encode()
		go func() {
			one, cancel := context.WithTimeout(context.Background(), limits.NodePass)
			defer cancel()
			b, err := n.net.Call(one, k.Addr, callReport, text)
			n.news.turn(gossip.Called{ID: k.ID, OK: err == nil})
			word, bad := duty.DecodeWord(b)
			if err != nil || bad != nil {
				return
			}
			n.data.parts(int(word.Lives))
			c.mu.Lock()
			defer c.mu.Unlock()
			told.Heard(word, &sent)
		}()
	}
	for id := range c.told {
		if !slices.ContainsFunc(keepers, func(p gossip.Peer) bool { return p.ID == id }) {
			delete(c.told, id)
		}
	}
}

// duties does, at a keeper, what one router at a time must do.
type duties struct {
	k      *keeper
	log    *slog.Logger
	cfg    *boot.Settings
	cloud  *platform.Client
	clock  func() time.Duration // steady
	others func() []netip.AddrPort
	list   func(service string) []roster.Engine
	config func() *declared.Config
	spent  *account.Book

	mu     sync.Mutex
	book   duty.Book
	life   uint64 // of the book
	lately time.Duration
	grants duty.Grants

	held    duty.Held
	sent    map[uint64]bool // windows that this life has reported
	scalers map[string]*duty.Scaler
	before  map[string]duty.Load // of the last look
	looked  time.Duration
	ordered map[string]int // by service and zone, as the platform last took it
	rank    time.Duration
	fence   uint64        // the newest holder's, as far as it is known here
	fenceAt time.Duration // when that was heard of
}

func newDuties(n *Node) *duties {
	lease := time.Duration(n.cfg.Bounds.LeaseMS) * time.Millisecond
	d := &duties{
		k: n.keeper, log: n.log, cfg: n.cfg, cloud: platform.New(n.cfg.Cloud.Address, n.cfg.Node), clock: n.news.clock,
		spent: &n.spent, others: n.keeper.others, list: n.news.list, config: n.config, sent: map[uint64]bool{}, scalers: map[string]*duty.Scaler{},
		before: map[string]duty.Load{}, ordered: map[string]int{},
		life: rand.Uint64(), lately: max(time.Duration(n.cfg.Bounds.RetryWindowS*float64(time.Second)), limits.NodeLately), held: duty.Held{Lease: lease, Margin: limits.NodeLeaseMargin},
		rank: time.Duration(n.keeper.self.ID%1000) * time.Millisecond,
	}
	// A machine whose disk was wiped may have granted a lease before: only at the very first start there was none.
	d.grants = duty.Grants{Lease: lease, Started: d.clock(), Fresh: n.keeper.founder && n.keeper.at().Next == 0}
	n.keeper.mu.Lock()
	n.keeper.core.Bars(d.bars)
	n.keeper.mu.Unlock()
	return d
}

// bars keeps a new holder from being voted for while another's lease may run.
func (d *duties) bars(value []byte) bool {
	e, err := chain.Decode(value)
	if err != nil || e.Kind != chain.Holder {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.grants.Bars(d.clock(), e.Node)
}

// renew does callRenew: the holder asks for more time.
func (d *duties) renew(place, node uint64) bool {
	s := d.k.at()
	if s.HolderPlace != place || s.Holder != node || s.Member(d.k.self.ID) == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.grants.Ask(d.clock(), node)
}

// run does the duties until the context is over.
func (d *duties) run(ctx context.Context) {
	tick := time.NewTicker(limits.NodeDuty)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		d.forget()
		s := d.k.at()
		if s.Next == 0 || s.Member(d.k.self.ID) == nil {
			continue
		}
		now := d.clock()
		if s.HolderPlace != d.fence {
			d.fence, d.fenceAt = s.HolderPlace, now
		}
		if s.Holder != d.k.self.ID {
			if s = d.stand(ctx, s, now); s.Holder != d.k.self.ID {
				continue
			}
			now = d.clock()
		}
		d.extend(ctx, &s, now)
		if d.left() > 0 {
			if d.cfg.Cloud.Has("usage_reporting") {
				d.usage(ctx)
			}
			if d.cfg.Cloud.Has("autoscaler") {
				d.scale(ctx)
			}
		}
	}
}

// left is how long calls may still be made: what is on its way must arrive before another may act.
func (d *duties) left() time.Duration { return d.held.Left(d.clock()) - limits.NodeLeaseCall }

// stand has this keeper agreed as the holder, if there is none any more, and returns the state after that. One that was
// agreed lately is given a lease's time to ask for its own: else two who stand in turn would keep each other from it.
func (d *duties) stand(ctx context.Context, s chain.State, now time.Duration) chain.State {
	d.mu.Lock()
	silent := min(d.grants.Silent(now), now-d.fenceAt)
	barred := d.grants.Bars(now, d.k.self.ID)
	d.mu.Unlock()
	if barred || s.Holder != 0 && silent < d.grants.Lease+d.rank {
		return s
	}
	ctx, cancel := context.WithTimeout(ctx, limits.NodeSettle)
	defer cancel()
	place := s.HolderPlace
	value := (&chain.Entry{Kind: chain.Holder, Nonce: rand.Uint64(), Node: d.k.self.ID, Name: d.k.self.Name}).Encode()
	d.k.propose(ctx, func(s *chain.State) []byte {
		if s.HolderPlace != place || s.Holder == d.k.self.ID {
			return nil
		}
		return value
	})
	s = d.k.at()
	if s.Holder == d.k.self.ID {
		d.log.Info("holds the duties", "fence", s.HolderPlace)
	}
	return s
}

// extend asks the members for more time.
func (d *duties) extend(ctx context.Context, s *chain.State, asked time.Duration) {
	w := form.Writer{}
	w.Uint(s.HolderPlace)
	w.Word(d.k.self.ID)
	ctx, cancel := context.WithTimeout(ctx, limits.NodeAsk)
	defer cancel()
	granted := make(chan bool, len(s.Members))
	for _, m := range s.Members {
		go func() {
			if m.ID == d.k.self.ID {
				granted <- d.renew(s.HolderPlace, m.ID)
				return
			}
			to, err := netip.ParseAddrPort(m.Addr)
			if err != nil {
				granted <- false
				return
			}
			b, err := d.k.call(ctx, to, callRenew, w.B)
			granted <- err == nil && len(b) == 1 && b[0] == 1
		}()
	}
	good := 0
	for range s.Members {
		if <-granted {
			if good++; good == ballot.Majority(len(s.Members)) {
				d.held.Extended(asked)
				return
			}
		}
	}
}

// gather takes in what other keepers have heard of the windows from a number up to before another.
func (d *duties) gather(ctx context.Context, from, to uint64) {
	w := form.Writer{}
	w.Uint(from)
	w.Uint(to)
	ctx, cancel := context.WithTimeout(ctx, limits.NodeAsk)
	defer cancel()
	var wait sync.WaitGroup
	for _, to := range d.others() {
		wait.Go(func() {
			b, err := d.k.call(ctx, to, callBook, w.B)
			if err != nil {
				return
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			if err := d.book.Merge(d.clock(), b); err != nil {
				d.log.Warn("a keeper's book cannot be read", "from", to.String(), "err", err)
			}
		})
	}
	wait.Wait()
}

// usage has the figures of windows that are over agreed, and sends them until the platform has taken them.
func (d *duties) usage(ctx context.Context) {
	newest, oldest := d.spans()
	due, asked := newest-min(newest, 3), false // what was heard of windows before that is known here
	for number := oldest; number < newest; number++ {
		if d.sent[number] {
			continue
		}
		s := d.k.at()
		w := s.Agreed(number)
		if w == nil {
			if number >= due && !asked {
				d.gather(ctx, number, newest)
				asked = true
			}
			d.mu.Lock()
			counts := duty.Counts(d.book.Sum(number))
			d.mu.Unlock()
			if len(counts) == 0 {
				continue // nothing began in it, as far as anybody knows
			}
			one, cancel := context.WithTimeout(ctx, limits.NodeSettle)
			value := (&chain.Entry{Kind: chain.Usage, Nonce: rand.Uint64(), Window: number, Counts: counts}).Encode()
			err := d.k.propose(one, func(s *chain.State) []byte {
				if w = s.Agreed(number); w != nil || s.Holder != d.k.self.ID {
					return nil
				}
				return value
			})
			cancel()
			if err != nil || w == nil {
				return
			}
			s = d.k.at()
		}
		counts := map[string]uint64{}
		for _, c := range w.Counts {
			counts[c.Tenant] = c.N
		}
		if s.Holder != d.k.self.ID || d.left() <= 0 {
			return
		}
		one, cancel := context.WithTimeout(ctx, d.left())
		d.spent.Add(account.Platform, 0, false)
		err := d.cloud.Usage(one, s.HolderPlace, number, counts)
		cancel()
		if err != nil {
			d.log.Warn("usage not reported yet", "window", number, "err", err)
			return
		}
		d.sent[number] = true
		for k := range d.sent {
			if k+100 < number {
				delete(d.sent, k)
			}
		}
	}
}

// forget drops from the book what nobody will send any more. Every keeper does, whoever holds the duties.
func (d *duties) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, oldest := d.spans()
	d.book.Forget(d.clock(), oldest)
}

// spans are the window from which on usage is not due yet, and the oldest that is sent still.
func (d *duties) spans() (newest, oldest uint64) {
	length := time.Duration(d.cfg.Bounds.UsageWindowS * float64(time.Second))
	delay := time.Duration(d.cfg.Bounds.UsageDelayS * float64(time.Second))
	now := time.Now()
	return duty.Window(now.Add(-delay*3/10), length), // over for a while: what was counted last has come
		duty.Window(now.Add(-3*delay-length), length) // what the platform has not taken by then nobody sends any more
}

// scale orders engines.
func (d *duties) scale(ctx context.Context) {
	now := d.clock()
	if now-d.looked < limits.NodeScale {
		return
	}
	c := d.config()
	if c == nil {
		return
	}
	d.mu.Lock()
	loads := d.book.Loads(now)
	d.mu.Unlock()
	lapse := (now - d.looked).Seconds()
	d.looked = now
	for i := range c.Services {
		svc := &c.Services[i]
		if svc.Scale == nil {
			continue
		}
		load, before := loads[svc.Name], d.before[svc.Name]
		d.before[svc.Name] = load
		have, ready, slots := map[string]int{}, 0.0, 0.0
		for _, e := range d.list(svc.Name) {
			if have[e.Zone] += 0; e.State == roster.Ready {
				have[e.Zone]++
				ready++
				slots += float64(e.Slots)
			}
		}
		var zones []string
		for z := range have {
			zones = append(zones, z)
		}
		slices.Sort(zones)
		sc := d.scalers[svc.Name]
		if sc == nil {
			sc = &duty.Scaler{Scale: limits.Scaling()}
			d.scalers[svc.Name] = sc
		}
		demand := duty.Demand{Running: float64(load.Running) / 100, Arrived: max(float64(load.Arrived)-float64(before.Arrived), 0) / lapse, Slots: slots / max(ready, 1)}
		wanted := sc.Want(now, demand, duty.Bounds{Min: svc.Scale.Min, Max: svc.Scale.Max, Boot: declared.Millis(svc.Scale.BootS * 1000)}, zones, have)
		for _, z := range zones {
			key := svc.Name + "/" + z
			last, known := d.ordered[key]
			if n, ok := wanted[z]; !ok || known && n == last || !known && n == have[z] {
				continue
			}
			s := d.k.at()
			if s.Holder != d.k.self.ID || d.left() <= 0 {
				return
			}
			one, cancel := context.WithTimeout(ctx, d.left())
			d.spent.Add(account.Platform, 0, false)
			err := d.cloud.Scale(one, s.HolderPlace, svc.Name, z, wanted[z])
			cancel()
			if err != nil {
				d.log.Warn("engines not ordered yet", "service", svc.Name, "zone", z, "err", err)
				continue
			}
			d.ordered[key] = wanted[z]
			d.log.Info("engines ordered", "service", svc.Name, "zone", z, "count", wanted[z], "running", int(demand.Running))
		}
	}
}
