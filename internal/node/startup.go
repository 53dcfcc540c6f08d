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
	"notchhinge/internal/control/transport"
	"notchhinge/internal/control/usage"
	"notchhinge/internal/limits"
	"notchhinge/internal/retrybudget"
)

// open opens the sockets and the disk.
func (n *Node) open(ctx context.Context) error {
	ip := netip.MustParseAddr(n.cfg.IPAddress) // boot has checked it
	var err error
	for port := n.cfg.InternalPorts[0]; port <= n.cfg.InternalPorts[1]; port++ {
		if n.transport, err = transport.Open(netip.AddrPortFrom(ip, uint16(port)), n.handleCall); err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	self := gossip.Peer{ID: gossip.Hash(n.cfg.NodeName), Addr: n.transport.Addr(), Zone: hash32(n.cfg.Zone)}
	if n.cfg.IsReplica() {
		self.Flags |= gossip.FlagReplica
		if n.replica, err = openReplica(n.log, n.cfg.DataDir, n.cfg.NodeName, n.transport.Addr().String(), n.cfg.Bootstrap, n.cfg.FaultTolerance.Machines); err != nil {
			return err
		}
		n.replica.call = n.transport.Call
		n.replica.peers = func() (all []netip.AddrPort) {
			for _, p := range n.discovery.replicas() {
				all = append(all, p.Addr)
			}
			return all
		}
	}
	if n.cfg.Listeners.Frontend != "" {
		self.Flags |= gossip.FlagRouter
	}
	silence := n.cfg.HeartbeatInterval()*limits.MissedHeartbeats + n.cfg.HeartbeatInterval()/2
	n.discovery = newDiscoveryHost(n.transport, self, rand.Uint64(), silence)
	n.discovery.onConfigAnnounced = n.onConfigAnnounced
	n.transport.OnExchange = n.countTraffic
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
		n.dataPlane = newDataPlane(n.log, lim, limits.DrainGrace(drain), rand.Uint64(), n.discovery.endpoints)
		if b := n.cfg.Bounds; b.RetryWindowS > 0 {
			window := time.Duration(b.RetryWindowS * float64(time.Second))
			n.dataPlane.retryShare = retrybudget.Share{Total: b.RetryExtra, Initial: b.RetryExtra / limits.InitialRetryShares, Window: window, Validity: limits.RetryShareTTL}
			n.dataPlane.retryBudget = retrybudget.Budget{Ratio: b.RetryBudgetRatio / 2, Window: window, Allowance: n.dataPlane.retryShare.Initial}
		}
		n.dataPlane.traffic, n.dataPlane.zone = &n.traffic, n.cfg.Zone
		n.discovery.onEndpointsChanged, n.discovery.onStaleConnections = n.dataPlane.notifyEndpointsChanged, n.dataPlane.limitRest
		n.dataPlane.onStaleConnection = func() { n.discovery.step(discovery.IdleDropObserved{}) }
		go n.dataPlane.run(ctx)
		c := &usageMeter{meter: usage.Meter{WindowLength: time.Duration(n.cfg.Bounds.UsageWindowS * float64(time.Second)), Incarnation: rand.Uint64(), Zone: n.cfg.Zone}}
		n.dataPlane.dialect.Began = c.countRequest
		if n.cfg.CloudAPI.Address != "" {
			go n.reportLoop(ctx, c)
		}
	}
	go n.fetchLoop(ctx)
	if n.replica != nil {
		n.replica.onStateChanged = n.onStateChanged
		s := n.replica.state()
		n.onStateChanged(&s)
		go n.replica.run(ctx)
		if n.cfg.CloudAPI.Address != "" {
			n.singleton = newSingletonHost(n)
			go n.singleton.run(ctx)
		}
	}
	go n.transport.ServeCalls(ctx)
	go n.discovery.run(ctx, n.seeds())
	go n.findNewest(ctx)
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
	if n.dataPlane != nil {
		ready, err := net.Listen("tcp4", n.cfg.Listeners.Readiness)
		if err != nil {
			return err
		}
		defer ready.Close()
		web := &http.Server{Handler: http.HandlerFunc(n.serveReadiness), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second}
		defer web.Close()
		go func() { failed <- web.Serve(ready) }()
		if front, err = net.Listen("tcp4", n.cfg.Listeners.Frontend); err != nil {
			return err
		}
		defer front.Close()
		go func() { n.dataPlane.frontend.Serve(front) }()
	}
	n.log.Info("started", "class", n.cfg.MachineClass, "zone", n.cfg.Zone, "bootstrap", n.cfg.Bootstrap)
	accounts := time.NewTicker(limits.MetricsLogInterval)
	defer accounts.Stop()
	for {
		select {
		case <-accounts.C:
			n.logTraffic(slog.LevelDebug)
		case err := <-failed:
			if err != nil {
				return err
			}
		case <-sig.Reload:
			if cfg, err := nodeconfig.Load(path); err != nil {
				n.log.Error("settings not read again", "err", err)
			} else {
				n.cfg.SeedNodes = cfg.SeedNodes
				n.discovery.step(gossip.SeedsChanged{Addrs: n.seeds()})
				n.log.Info("settings read again")
			}
		case <-sig.Stop:
			n.shutDown(ctx, front)
			n.logTraffic(slog.LevelInfo)
			return nil
		}
	}
}
