// Package node is one process of the fleet: it puts the parts together as the settings say, starts them, says when it is
// ready, and ends in order. Decisions are the parts'.
package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"notchhinge/internal/config/nodeconfig"
	"notchhinge/internal/control/api"
	"notchhinge/internal/control/configcache"
	"notchhinge/internal/control/delta"
	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/singleton"
	"notchhinge/internal/control/transport"
	"notchhinge/internal/limits"
	"notchhinge/internal/share"
)

// Node is a process.
type Node struct {
	cfg    *nodeconfig.Settings
	log    *slog.Logger
	net    *transport.Net
	news   *hearsay
	keeper *keeper // nil where there is no disk
	data   *data   // nil where no traffic is carried
	duties *duties // nil where there is no disk
	conf   atomic.Pointer[fleetconfig.Config]
	spent  metrics.Book
	began  time.Time

	holding  sync.Mutex    // one configuration is taken over at a time
	place    atomic.Uint64 // of the newest configuration that is held here
	texts    configcache.Texts
	wanted   atomic.Uint64 // of the newest that is known of
	asked    atomic.Bool   // a keeper that reached a majority has said what the newest is
	answered atomic.Bool   // some keeper has said what it has
	sent     atomic.Uint32 // callers that were sent to a keeper
	fetching chan gossip.Peer
	stopping atomic.Bool
}

// Signals are what the outside asks of a running process.
type Signals struct {
	Stop   <-chan os.Signal
	Reload <-chan os.Signal
}

// Run runs a process until it is stopped.
func Run(path string, log *slog.Logger, sig Signals) error {
	cfg, err := nodeconfig.Load(path)
	if err != nil {
		return err
	}
	log = log.With("node", cfg.Node)
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores+0.5)))
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * 6 / 10)
	n := &Node{cfg: cfg, log: log, began: time.Now(), fetching: make(chan gossip.Peer, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := n.open(ctx); err != nil {
		return err
	}
	defer func() {
		n.net.Close()
		if k := n.keeper; k != nil {
			k.close()
		}
	}()
	return n.serve(ctx, path, sig)
}

// open opens the sockets and the disk.
func (n *Node) open(ctx context.Context) error {
	ip := netip.MustParseAddr(n.cfg.IP) // boot has checked it
	var err error
	for port := n.cfg.Ports[0]; port <= n.cfg.Ports[1]; port++ {
		if n.net, err = transport.Open(netip.AddrPortFrom(ip, uint16(port)), n.handle); err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	self := gossip.Peer{ID: gossip.Hash(n.cfg.Node), Addr: n.net.Addr(), Zone: hash32(n.cfg.Zone)}
	if n.cfg.Keeper() {
		self.Flags |= gossip.Keeper
		if n.keeper, err = openKeeper(n.log, n.cfg.Data, n.cfg.Node, n.net.Addr().String(), n.cfg.Bootstrap, n.cfg.Tolerance.Machines); err != nil {
			return err
		}
		n.keeper.call = n.net.Call
		n.keeper.others = func() (all []netip.AddrPort) {
			for _, p := range n.news.keepers() {
				all = append(all, p.Addr)
			}
			return all
		}
	}
	if n.cfg.Listeners.Frontend != "" {
		self.Flags |= gossip.Edge
	}
	silence := n.cfg.Beat()*limits.NodeSilence + n.cfg.Beat()/2
	n.news = newHearsay(n.net, self, rand.Uint64(), silence)
	n.news.config = n.heardOf
	n.net.Counted = n.counted
	return nil
}

// config is the newest configuration that is held here; nil = none yet.
func (n *Node) config() *fleetconfig.Config { return n.conf.Load() }

// seeds are where others may be found at their own ports: on all machines these are alike.
func (n *Node) seeds() (all []netip.AddrPort) {
	for _, s := range n.cfg.Seeds {
		if a, err := netip.ParseAddrPort(s); err == nil {
			all = append(all, netip.AddrPortFrom(a.Addr(), uint16(n.cfg.Ports[0])))
		}
	}
	return all
}

// serve runs the parts.
func (n *Node) serve(ctx context.Context, path string, sig Signals) error {
	failed := make(chan error, 4)
	if n.cfg.Listeners.Frontend != "" {
		lim := limits.NewNode(limits.Machine{Cores: n.cfg.Limits.Cores, MemoryMB: n.cfg.Limits.MemoryMB, Sockets: n.cfg.Limits.Files})
		drain := time.Duration(n.cfg.Bounds.DrainMS) * time.Millisecond
		n.data = newData(n.log, lim, limits.DrainGrace(drain), rand.Uint64(), n.news.list)
		if b := n.cfg.Bounds; b.RetryWindowS > 0 {
			window := time.Duration(b.RetryWindowS * float64(time.Second))
			n.data.part = share.Part{Whole: b.RetryExtra, First: b.RetryExtra / limits.NodeRetryParts, Window: window, Hold: limits.NodePart}
			n.data.repeats = share.Repeats{Ratio: b.RetryRatio / 2, Window: window, Extra: n.data.part.First}
		}
		n.data.spent, n.data.zone = &n.spent, n.cfg.Zone
		n.news.engines, n.news.forgets = n.data.engines, n.data.forgets
		n.data.forgot = func() { n.news.turn(discovery.Forgot{}) }
		go n.data.run(ctx)
		c := &counter{meter: singleton.Meter{Length: time.Duration(n.cfg.Bounds.UsageWindowS * float64(time.Second)), Source: rand.Uint64(), Zone: n.cfg.Zone}}
		n.data.dialect.Began = c.began
		if n.cfg.Cloud.Address != "" {
			go n.reports(ctx, c)
		}
	}
	go n.fetch(ctx)
	if n.keeper != nil {
		n.keeper.changed = n.changed
		s := n.keeper.at()
		n.changed(&s)
		go n.keeper.run(ctx)
		if n.cfg.Cloud.Address != "" {
			n.duties = newDuties(n)
			go n.duties.run(ctx)
		}
	}
	go n.net.Serve(ctx)
	go n.news.run(ctx, n.seeds())
	go n.start(ctx)
	if addr := n.cfg.Listeners.Control; addr != "" {
		ln, err := net.Listen("tcp4", addr)
		if err != nil {
			return err
		}
		web := api.Server(n)
		defer web.Close()
		go func() { failed <- api.Serve(web, ln) }()
	}
	var front net.Listener
	if n.data != nil {
		ready, err := net.Listen("tcp4", n.cfg.Listeners.Readiness)
		if err != nil {
			return err
		}
		defer ready.Close()
		web := &http.Server{Handler: http.HandlerFunc(n.readiness), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second}
		defer web.Close()
		go func() { failed <- web.Serve(ready) }()
		if front, err = net.Listen("tcp4", n.cfg.Listeners.Frontend); err != nil {
			return err
		}
		defer front.Close()
		go func() { n.data.front.Serve(front) }()
	}
	n.log.Info("started", "class", n.cfg.Class, "zone", n.cfg.Zone, "bootstrap", n.cfg.Bootstrap)
	accounts := time.NewTicker(limits.NodeAccount)
	defer accounts.Stop()
	for {
		select {
		case <-accounts.C:
			n.settleUp(slog.LevelDebug)
		case err := <-failed:
			if err != nil {
				return err
			}
		case <-sig.Reload:
			if cfg, err := nodeconfig.Load(path); err != nil {
				n.log.Error("settings not read again", "err", err)
			} else {
				n.cfg.Seeds = cfg.Seeds
				n.news.turn(gossip.Seeds{Addrs: n.seeds()})
				n.log.Info("settings read again")
			}
		case <-sig.Stop:
			n.stop(ctx, front)
			n.settleUp(slog.LevelInfo)
			return nil
		}
	}
}

// counted keeps the account of what goes to other processes.
func (n *Node) counted(to netip.AddrPort, kind uint8, bytes int, datagram []byte) {
	const headers = 28 // of a datagram
	if kind == 0 {
		// The lock of the news is held: datagrams are sent by its turn only.
		zone, known := n.news.node.Gossip.ZoneOf(to.Addr())
		cause := map[gossip.Use]metrics.Cause{gossip.Compares: metrics.Digests, gossip.Shuffles: metrics.Shuffles, gossip.Spreads: metrics.News}
		n.spent.Add(cause[gossip.UseOf(datagram)], bytes+headers, known && zone != hash32(n.cfg.Zone))
		return
	}
	n.news.mu.Lock()
	zone, known := n.news.node.Gossip.ZoneOf(to.Addr())
	n.news.mu.Unlock()
	n.spent.Add(causeOf(kind), bytes, known && zone != hash32(n.cfg.Zone))
}

// settleUp writes down what the process has cost.
func (n *Node) settleUp(level slog.Level) {
	ctx := context.Background()
	if !n.log.Enabled(ctx, level) {
		return
	}
	for _, r := range n.spent.Rows() {
		n.log.Log(ctx, level, "account", "cause", r.Cause, "count", r.Count, "bytes", r.Bytes, "between_zones", r.Between, "connections", r.Conns)
	}
	m := metrics.Used()
	n.log.Log(ctx, level, "account of the machine", "processor_s", m.Processor, "memory_most_mb", m.MemoryMB, "wake_ups", m.WakeUps)
}

// readiness says whether clients are wanted here.
func (n *Node) readiness(w http.ResponseWriter, _ *http.Request) {
	if why := n.unready(); why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

// unready says why a router is not ready; "" = it is.
func (n *Node) unready() string {
	switch {
	case n.stopping.Load():
		return "stopping"
	case n.data == nil:
		return "no traffic here"
	case n.data.at.Load() == nil:
		return "no configuration yet"
	case !n.asked.Load() && !n.answered.Load() && time.Since(n.began) < limits.NodeUnasked:
		return "no keeper has said yet which configuration is the newest"
	case !n.asked.Load() && time.Since(n.began) < limits.NodeUnsettled:
		return "no keeper that reaches a majority has said yet which configuration is the newest"
	case n.place.Load() < n.wanted.Load():
		return "a newer configuration is on its way"
	case !n.data.known():
		return "no engine is known yet"
	}
	return ""
}

// stop ends a process in order: the platform's entry is told first, and what comes until it has noticed is served.
func (n *Node) stop(ctx context.Context, front net.Listener) {
	n.stopping.Store(true)
	n.log.Info("stopping")
	began := time.Now()
	end := began.Add(time.Duration(n.cfg.Bounds.GraceS*float64(time.Second)) - limits.NodeLeast)
	handed := make(chan struct{})
	go func() {
		defer close(handed)
		if n.keeper == nil {
			return
		}
		left, cancel := context.WithDeadline(ctx, earlier(began.Add(limits.NodeHandOver), end))
		defer cancel()
		n.keeper.leave(left)
		n.log.Info("handed over", "after", time.Since(began).Round(time.Millisecond).String())
	}()
	defer func() { <-handed }()
	if n.data == nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	n.data.front.Drain()
	time.Sleep(limits.NodeFront)
	n.data.front.CloseIdle()
	time.Sleep(100 * time.Millisecond)
	front.Close()
	n.data.front.CloseIdle()
	n.data.loop.Idle(ctx)
	n.data.front.CloseIdle()
	n.data.front.Wait(ctx)
	n.log.Info("stopped", "after", time.Since(began).Round(time.Millisecond).String(), "connections_left", n.data.front.Conns())
}

func earlier(x, y time.Time) time.Time {
	if y.Before(x) {
		return y
	}
	return x
}

// changed follows the state of a keeper. It must not wait.
func (n *Node) changed(s *replog.State) {
	var ids []uint64
	for _, m := range s.Members {
		ids = append(ids, gossip.Hash(m.Name))
	}
	n.news.turn(gossip.Members{IDs: ids})
	if s.Config != nil {
		n.hold(s.ConfigIndex, s.Config)
	}
}

// hold takes a configuration over, and tells others of it.
func (n *Node) hold(place uint64, text []byte) {
	n.holding.Lock()
	defer n.holding.Unlock()
	if place <= n.place.Load() {
		return
	}
	var pause func()
	if n.data != nil { // streams go on meanwhile
		pause = func() { time.Sleep(limits.NodeBreath) }
	}
	c, err := fleetconfig.Read(text, pause)
	if err == nil && n.data != nil {
		err = n.data.apply(place, c)
	}
	if err != nil {
		n.log.Error("configuration not taken over", "place", place, "err", err)
		return
	}
	n.conf.Store(c)
	n.texts.Hold(place, text)
	n.place.Store(place)
	for w := n.wanted.Load(); w < place && !n.wanted.CompareAndSwap(w, place); w = n.wanted.Load() {
	}
	go n.news.turn(discovery.Config{Place: place})
}

// heardOf is told that there is a configuration.
func (n *Node) heardOf(place uint64, from gossip.Peer) {
	for w := n.wanted.Load(); w < place && !n.wanted.CompareAndSwap(w, place); w = n.wanted.Load() {
	}
	if place <= n.place.Load() {
		return
	}
	select {
	case n.fetching <- from:
	default:
	}
}

// fetch gets configurations that are known of and not held.
func (n *Node) fetch(ctx context.Context) {
	for {
		var from gossip.Peer
		select {
		case <-ctx.Done():
			return
		case from = <-n.fetching:
		}
		for try := 0; n.place.Load() < n.wanted.Load() && ctx.Err() == nil; try++ {
			ask := []gossip.Peer{}
			if from.Addr.IsValid() {
				ask = append(ask, from)
			}
			for _, p := range append(ask, n.news.keepers()...) {
				if n.get(ctx, p.Addr, false) && n.place.Load() >= n.wanted.Load() {
					break
				}
			}
			if n.place.Load() < n.wanted.Load() {
				pause(ctx, 50*time.Millisecond)
			}
		}
	}
}

// get asks another for a configuration that is newer than the one here; settled: for the newest there is, which a keeper asks a
// majority for first. It tells whether it answered. A keeper of an earlier program says what it has itself in either case.
func (n *Node) get(ctx context.Context, to netip.AddrPort, settled bool) bool {
	var how []byte
	if settled {
		how = []byte{fetchSettled}
	}
	ctx, cancel := context.WithTimeout(ctx, limits.NodePass)
	defer cancel()
	has, had := n.texts.Newest()
	for {
		b, err := n.net.Call(ctx, to, configcache.CallFetch, replica.EncodeIndexed(has, how))
		if err != nil {
			return false
		}
		place, text, err := n.texts.Read(b, had)
		if errors.Is(err, delta.ErrBase) && has > 0 { // two who hold different texts for one place would be a fault: it must not last
			has, had = 0, nil
			continue
		}
		if err != nil {
			n.log.Error("a configuration on its way cannot be read", "from", to.String(), "err", err)
			return false
		}
		if len(text) > 0 {
			n.hold(place, text)
		}
		return true
	}
}

// start finds out at the start which configuration is the newest. It goes on until a keeper that reaches a majority has said
// so: one that is cut off may be the only one that is known here. What that has is held meanwhile.
func (n *Node) start(ctx context.Context) {
	for !n.asked.Load() && ctx.Err() == nil {
		all := n.news.keepers()
		for _, p := range all {
			if n.get(ctx, p.Addr, true) {
				n.asked.Store(true)
				return
			}
		}
		for _, p := range all {
			if n.get(ctx, p.Addr, false) {
				n.answered.Store(true)
				break
			}
		}
		pause(ctx, 100*time.Millisecond)
	}
}

var errNotHere = errors.New("no state is held here")

// handle answers another process.
func (n *Node) handle(ctx context.Context, kind uint8, from netip.Addr, body []byte) ([]byte, error) {
	if kind == configcache.CallFetch {
		place, how, err := replica.DecodeIndexed(body)
		if err != nil {
			return nil, err
		}
		if len(how) > 0 && how[0] == fetchSettled && n.keeper != nil {
			ctx, cancel := context.WithTimeout(ctx, limits.NodeAsk)
			defer cancel()
			r := n.keeper.operate(ctx, func(of chan api.Result, until time.Duration) replica.Event {
				return replica.ReadConfig{Of: of, Until: until, Passive: true}
			})
			if r.Status >= http.StatusInternalServerError { // 404: there is none yet
				return nil, errors.New(r.Says)
			}
		}
		return n.texts.Answer(place), nil
	}
	k := n.keeper
	if k == nil {
		return nil, errNotHere
	}
	switch kind {
	case replica.CallPaxos, replica.CallLearn, replica.CallSnapshot, replica.CallIdentity, replica.CallJoin, replica.CallCommit:
		ctx, cancel := context.WithTimeout(ctx, limits.NodeSettle)
		defer cancel()
		return k.handle(ctx, kind, from, body)
	}
	if n.duties != nil && singleton.Owns(kind) {
		return n.duties.handle(kind, from, body)
	}
	return nil, fmt.Errorf("call %d is not known here", kind)
}

// Beat implements api.Handler.
func (n *Node) Beat(ctx context.Context, b *api.Beat) (home string, err error) {
	r := endpoints.Record{
		ID: b.ID, Service: b.Service, Addr: b.Addr, Zone: b.Zone, Revision: b.Revision, Slots: uint64(max(b.Slots, 0)), Calls: b.Calls,
	}
	if b.Status == "draining" {
		r.State = endpoints.Draining
	}
	if b.ColdMS > 0 {
		r.WarmAt = time.Now().UnixMilli() + int64(min(b.ColdMS, 3.6e6))
	}
	a, err := n.news.call(ctx, func(of chan discovery.Answer) discovery.Event { return discovery.Beat{Record: r, Of: of} })
	if err != nil || !a.Home.IsValid() {
		return "", err
	}
	return n.control(a.Home), nil
}

// SignOff implements api.Handler.
func (n *Node) SignOff(ctx context.Context, id string) error {
	_, err := n.news.call(ctx, func(of chan discovery.Answer) discovery.Event { return discovery.SignOff{ID: id, Of: of} })
	return err
}

// Replace implements api.Handler.
func (n *Node) Replace(ctx context.Context, on uint64, text []byte) api.Result {
	began := time.Now()
	r := n.held(ctx, func(of chan api.Result, until time.Duration) replica.Event {
		return replica.ReplaceConfig{BaseRevision: on, Config: text, Of: of, Until: until}
	})
	n.log.Info("configuration call", "on", on, "bytes", len(text), "status", r.Status, "says", r.Says, "revision", r.Rev,
		"took", time.Since(began).Round(time.Millisecond).String())
	return r
}

// noKeeper is what is said where nobody who holds the state is in reach.
var noKeeper = api.Result{Status: http.StatusServiceUnavailable, Says: "no keeper answers"}

// Elsewhere implements api.Handler: a keeper that was heard of lately, each in its turn, so that who comes again meets
// another.
func (n *Node) Elsewhere() string {
	if n.keeper != nil {
		return ""
	}
	all := n.news.reachable()
	if len(all) == 0 {
		return ""
	}
	return n.control(all[int(n.sent.Add(1))%len(all)].Addr)
}

// control is the control address of the process at an inner one, on all machines control has the same port. "" = it can't be told.
func (n *Node) control(inner netip.AddrPort) string {
	own, err := netip.ParseAddrPort(n.cfg.Listeners.Control)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(inner.Addr(), own.Port()).String()
}

// Describe implements api.Handler.
func (n *Node) Describe(ctx context.Context) api.Result {
	return n.held(ctx, func(of chan api.Result, until time.Duration) replica.Event {
		return replica.ReadConfig{Of: of, Until: until}
	})
}

// History implements api.Handler.
func (n *Node) History(ctx context.Context) api.Result {
	return n.held(ctx, func(of chan api.Result, until time.Duration) replica.Event {
		return replica.ReadHistory{Of: of, Until: until}
	})
}

// Dismiss implements api.Handler.
func (n *Node) Dismiss(ctx context.Context, name string) api.Result {
	return n.held(ctx, func(of chan api.Result, until time.Duration) replica.Event {
		return replica.RemoveMember{Name: name, Of: of, Until: until}
	})
}

// held has a call of the operator answered by the keeper here.
func (n *Node) held(ctx context.Context, event func(of chan api.Result, until time.Duration) replica.Event) api.Result {
	if n.keeper == nil {
		return noKeeper
	}
	ctx, cancel := context.WithTimeout(ctx, limits.NodeSettle)
	defer cancel()
	return n.keeper.operate(ctx, event)
}

// Status implements api.Handler.
func (n *Node) Status() any {
	type status struct {
		Node     string `json:"node"`
		Zone     string `json:"zone"`
		Ready    string `json:"ready"`
		Place    uint64 `json:"place"`
		Wanted   uint64 `json:"newest_place"`
		Peers    int    `json:"peers"`
		Keepers  int    `json:"keepers"`
		Engines  int    `json:"engines"`
		Items    int    `json:"items"`
		Revision uint64 `json:"revision"`
		Keeper   bool   `json:"keeper"`
		Chain    uint64 `json:"chain"`   // places that a keeper knows
		Votes    bool   `json:"votes"`   // the keeper is a member
		Members  int    `json:"members"` // of the core, as the keeper knows them
		Holder   string `json:"holder"`  // of the duties
		Fence    uint64 `json:"fence"`

		Account []metrics.Row   `json:"account"` // what the process has sent and taken, by cause
		Machine metrics.Machine `json:"machine"`
	}
	s := status{Node: n.cfg.Node, Zone: n.cfg.Zone, Ready: n.unready(), Place: n.place.Load(), Wanted: n.wanted.Load()}
	if s.Ready == "" {
		s.Ready = "yes"
	}
	s.Account, s.Machine = n.spent.Rows(), metrics.Used()
	if n.data != nil {
		if at := n.data.at.Load(); at != nil {
			s.Revision = at.Revision
		}
	}
	if n.keeper != nil {
		st := n.keeper.at()
		s.Keeper, s.Chain, s.Votes, s.Members = true, st.NextIndex, st.Member(n.keeper.self.ID) != nil, len(st.Members)
		s.Holder, s.Fence = st.LeaseHolderName, st.FencingToken
	}
	n.news.mu.Lock()
	defer n.news.mu.Unlock()
	s.Peers, s.Keepers = len(n.news.node.Gossip.Peers()), len(n.news.node.Gossip.Keepers())
	s.Engines, s.Items = n.news.node.Roster.Len(), n.news.node.Gossip.Items()
	return s
}
