package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"notchhinge/internal/config/nodeconfig"
	"notchhinge/internal/control/api"
	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/singleton"
	"notchhinge/internal/control/transport"
	"notchhinge/internal/limits"
	"notchhinge/internal/retrybudget"
)

// open opens the sockets and the disk.
func (n *Node) open(ctx context.Context) error {
	ip := netip.MustParseAddr(n.cfg.IPAddress) // boot has checked it
	var err error
	for port := n.cfg.InternalPorts[0]; port <= n.cfg.InternalPorts[1]; port++ {
		if n.net, err = transport.Open(netip.AddrPortFrom(ip, uint16(port)), n.handle); err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	self := gossip.Peer{ID: gossip.Hash(n.cfg.NodeName), Addr: n.net.Addr(), Zone: hash32(n.cfg.Zone)}
	if n.cfg.IsReplica() {
		self.Flags |= gossip.FlagReplica
		if n.keeper, err = openKeeper(n.log, n.cfg.DataDir, n.cfg.NodeName, n.net.Addr().String(), n.cfg.Bootstrap, n.cfg.FaultTolerance.Machines); err != nil {
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
		self.Flags |= gossip.FlagRouter
	}
	silence := n.cfg.HeartbeatInterval()*limits.MissedHeartbeats + n.cfg.HeartbeatInterval()/2
	n.news = newHearsay(n.net, self, rand.Uint64(), silence)
	n.news.config = n.heardOf
	n.net.OnExchange = n.counted
	return nil
}

// seeds are where others may be found at their own ports: on all machines these are alike.
func (n *Node) seeds() (all []netip.AddrPort) {
	for _, s := range n.cfg.SeedNodes {
		if a, err := netip.ParseAddrPort(s); err == nil {
			all = append(all, netip.AddrPortFrom(a.Addr(), uint16(n.cfg.InternalPorts[0])))
		}
	}
	return all
}

// serve runs the parts.
func (n *Node) serve(ctx context.Context, path string, sig Signals) error {
	failed := make(chan error, 4)
	if n.cfg.Listeners.Frontend != "" {
		lim := limits.NewFleetRouter(limits.Machine{Cores: n.cfg.Machine.CPUCores, MemoryMB: n.cfg.Machine.MemoryMB, Sockets: n.cfg.Machine.MaxOpenFiles})
		drain := time.Duration(n.cfg.Bounds.DrainTimeoutMS) * time.Millisecond
		n.data = newData(n.log, lim, limits.DrainGrace(drain), rand.Uint64(), n.news.list)
		if b := n.cfg.Bounds; b.RetryWindowS > 0 {
			window := time.Duration(b.RetryWindowS * float64(time.Second))
			n.data.part = retrybudget.Share{Total: b.RetryExtra, Initial: b.RetryExtra / limits.InitialRetryShares, Window: window, Validity: limits.RetryShareTTL}
			n.data.repeats = retrybudget.Budget{Ratio: b.RetryBudgetRatio / 2, Window: window, Allowance: n.data.part.Initial}
		}
		n.data.spent, n.data.zone = &n.spent, n.cfg.Zone
		n.news.engines, n.news.forgets = n.data.engines, n.data.forgets
		n.data.forgot = func() { n.news.turn(discovery.IdleDropObserved{}) }
		go n.data.run(ctx)
		c := &counter{meter: singleton.Meter{WindowLength: time.Duration(n.cfg.Bounds.UsageWindowS * float64(time.Second)), Incarnation: rand.Uint64(), Zone: n.cfg.Zone}}
		n.data.dialect.Began = c.began
		if n.cfg.CloudAPI.Address != "" {
			go n.reports(ctx, c)
		}
	}
	go n.fetch(ctx)
	if n.keeper != nil {
		n.keeper.changed = n.changed
		s := n.keeper.at()
		n.changed(&s)
		go n.keeper.run(ctx)
		if n.cfg.CloudAPI.Address != "" {
			n.duties = newDuties(n)
			go n.duties.run(ctx)
		}
	}
	go n.net.ServeCalls(ctx)
	go n.news.run(ctx, n.seeds())
	go n.start(ctx)
	if addr := n.cfg.Listeners.ControlPlane; addr != "" {
		ln, err := net.Listen("tcp4", addr)
		if err != nil {
			return err
		}
		web := api.NewServer(n)
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
	n.log.Info("started", "class", n.cfg.MachineClass, "zone", n.cfg.Zone, "bootstrap", n.cfg.Bootstrap)
	accounts := time.NewTicker(limits.MetricsLogInterval)
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
				n.cfg.SeedNodes = cfg.SeedNodes
				n.news.turn(gossip.SeedsChanged{Addrs: n.seeds()})
				n.log.Info("settings read again")
			}
		case <-sig.Stop:
			n.stop(ctx, front)
			n.settleUp(slog.LevelInfo)
			return nil
		}
	}
}
