package node

import (
	"context"
	"fmt"
	"io"
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

// open opens the sockets for traffic between processes and, in a replica, the disk. It starts no goroutine.
func (n *Node) open(ctx context.Context) error {
	if err := n.openTransport(); err != nil {
		return err
	}
	self := gossip.Peer{ID: gossip.PeerIDOf(n.cfg.NodeName), Addr: n.transport.Addr(), Zone: zoneHash(n.cfg.Zone)}
	if n.cfg.IsReplica() {
		self.Flags |= gossip.FlagReplica
		if err := n.openReplica(ctx); err != nil {
			n.transport.Close()
			return err
		}
	}
	if n.cfg.Listeners.Frontend != "" {
		self.Flags |= gossip.FlagRouter
	}
	interval := n.cfg.HeartbeatInterval()
	n.discovery = newDiscoveryHost(n.transport, discovery.Options{
		Self: self, Seed: rand.Uint64(), HeartbeatTimeout: interval*limits.MissedHeartbeats + interval/2, ZoneHash: zoneHash,
		MinStored: n.cfg.FaultTolerance.Machines + 1,
	})
	n.configs = newConfigSync(n.log, n.transport, n.discovery)
	n.discovery.onConfigAnnounced = n.configs.announced
	n.transport.OnExchange = n.countTraffic
	return nil
}

// openTransport opens the sockets at the first free port of the configured range.
func (n *Node) openTransport() error {
	ip, err := netip.ParseAddr(n.cfg.IPAddress)
	if err != nil {
		return fmt.Errorf("ip_address: %w", err)
	}
	for port := n.cfg.InternalPorts[0]; port <= n.cfg.InternalPorts[1]; port++ {
		if n.transport, err = transport.Open(netip.AddrPortFrom(ip, uint16(port)), n.handleCall); err == nil {
			return nil
		}
	}
	return err
}

// openReplica creates the replica of this process from the settings and opens its disk.
func (n *Node) openReplica(ctx context.Context) (err error) {
	n.replica, err = openReplica(ctx, replicaOptions{
		log: n.log, dataDir: n.cfg.DataDir, name: n.cfg.NodeName, addr: n.transport.Addr().String(),
		bootstrap: n.cfg.Bootstrap, machineFaults: n.cfg.FaultTolerance.Machines,
		call: n.transport.Call,
		peers: func() (addrs []netip.AddrPort) {
			for _, p := range n.discovery.replicas() {
				addrs = append(addrs, p.Addr)
			}
			return addrs
		},
	})
	return err
}

// close closes the sockets for traffic between processes and the disk.
func (n *Node) close() {
	n.transport.Close()
	if n.replica != nil {
		n.replica.close()
	}
}

// seeds returns the internal addresses of the seed nodes. The settings contain their control addresses; the first internal
// port is the same on all machines.
func (n *Node) seeds() (addrs []netip.AddrPort) {
	for _, s := range n.cfg.SeedNodes {
		if a, err := netip.ParseAddrPort(s); err == nil {
			addrs = append(addrs, netip.AddrPortFrom(a.Addr(), uint16(n.cfg.InternalPorts[0])))
		}
	}
	return addrs
}

// serve starts the components and the servers, and runs until a stop signal arrives or a server fails.
func (n *Node) serve(ctx context.Context, path string, sig Signals) error {
	if n.cfg.Listeners.Frontend != "" {
		n.startDataPlane(ctx)
	}
	n.startControlPlane(ctx)
	s := &servers{failed: make(chan error, 2)}
	defer s.close()
	if err := n.startServers(ctx, s); err != nil {
		return err
	}
	n.log.Info("node started", "machine_class", n.cfg.MachineClass, "zone", n.cfg.Zone, "bootstrap", n.cfg.Bootstrap)
	return n.supervise(ctx, path, sig, s)
}

// startDataPlane starts the data plane and the usage reports. Their goroutines end with ctx.
func (n *Node) startDataPlane(ctx context.Context) {
	m, b := &n.cfg.Machine, &n.cfg.Bounds
	o := dataPlaneOptions{
		log: n.log, traffic: &n.traffic, zone: n.cfg.Zone, seed: rand.Uint64(), endpoints: n.discovery.endpoints,
		limits:     limits.NewFleetRouter(limits.Machine{Cores: m.CPUCores, MemoryMB: m.MemoryMB, Sockets: m.MaxOpenFiles}),
		drainGrace: limits.DrainGrace(time.Duration(b.DrainTimeoutMS) * time.Millisecond),
	}
	if b.RetryWindowS > 0 {
		window := seconds(b.RetryWindowS)
		o.retryShare = retrybudget.Share{Total: b.RetryExtra, Initial: b.RetryExtra / limits.InitialRetryShares, Window: window, Validity: limits.RetryShareTTL}
		o.retryBudget = retrybudget.Budget{Ratio: b.RetryBudgetRatio / 2, Window: window, Allowance: o.retryShare.Initial}
	}
	n.dataPlane = newDataPlane(o)
	n.configs.dataPlane = n.dataPlane
	n.discovery.onEndpointsChanged, n.discovery.onIdleDropReported = n.dataPlane.notifyEndpointsChanged, n.dataPlane.limitIdleReuse
	n.dataPlane.onIdleDrop = func() { n.discovery.step(discovery.IdleDropObserved{}) }
	go n.dataPlane.run(ctx)

	meter := &usageMeter{meter: usage.Meter{WindowLength: seconds(b.UsageWindowS), Incarnation: rand.Uint64(), Zone: n.cfg.Zone}}
	n.dataPlane.dialect.OnResponse = meter.countRequest
	if n.cfg.CloudAPI.Address != "" {
		go n.reportLoop(ctx, meter)
	}
}

// startControlPlane starts the components that communicate with other processes. Their goroutines end with ctx or when the
// transport is closed.
func (n *Node) startControlPlane(ctx context.Context) {
	go n.configs.run(ctx)
	if n.replica != nil {
		n.startEndpointStore(ctx)
		n.replica.onStateChanged = n.stateChanged
		s := n.replica.state()
		n.stateChanged(&s)
		go n.replica.run(ctx)
		if n.cfg.CloudAPI.Address != "" {
			n.singleton = newSingletonHost(ctx, n)
			go n.singleton.run(ctx)
		}
	}
	go n.transport.ServeCalls(ctx)
	go n.discovery.run(ctx, n.seeds())
	go n.configs.confirmNewest(ctx)
}

// startEndpointStore restores the records of draining and deregistered endpoints from the disk, and stores those that follow.
func (n *Node) startEndpointStore(ctx context.Context) {
	store := newEndpointStore(n.replica.updateEndpoints, func(e discovery.RecordsStored) { n.discovery.step(e) })
	n.discovery.onStoreRecords, n.discovery.onForgetRecords = store.store, store.forget
	n.discovery.step(discovery.RecordsRestored{Records: n.replica.endpoints})
	n.replica.endpoints = nil
	go store.run(ctx)
}

// servers holds the servers of the process and their listeners.
type servers struct {
	failed   chan error   // the errors that servers return; buffered for all of them
	frontend net.Listener // nil unless the process has a frontend
	closers  []io.Closer
}

// close closes the servers and listeners in reverse order of opening, which ends the goroutines that serve.
func (s *servers) close() {
	for i := len(s.closers) - 1; i >= 0; i-- {
		_ = s.closers[i].Close() // fails for a listener that the shutdown has already closed
	}
}

// listen opens a TCP listener that close closes.
func (s *servers) listen(ctx context.Context, addr string) (net.Listener, error) {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", addr)
	if err == nil {
		s.closers = append(s.closers, ln)
	}
	return ln, err
}

// startServers opens the configured listeners and serves on them until s is closed.
func (n *Node) startServers(ctx context.Context, s *servers) error {
	if addr := n.cfg.Listeners.ControlPlane; addr != "" {
		ln, err := s.listen(ctx, addr)
		if err != nil {
			return fmt.Errorf("listeners.control_plane: %w", err)
		}
		server := api.NewServer(n)
		s.closers = append(s.closers, server)
		go func() { s.failed <- api.Serve(server, ln) }()
	}
	if n.dataPlane == nil {
		return nil
	}
	ln, err := s.listen(ctx, n.cfg.Listeners.Readiness)
	if err != nil {
		return fmt.Errorf("listeners.readiness: %w", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(n.serveReadiness), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second}
	s.closers = append(s.closers, server)
	go func() { s.failed <- server.Serve(ln) }()
	if s.frontend, err = s.listen(ctx, n.cfg.Listeners.Frontend); err != nil {
		return fmt.Errorf("listeners.frontend: %w", err)
	}
	go func() { _ = n.dataPlane.frontend.Serve(s.frontend) }() // returns when the listener is closed
	return nil
}

// supervise handles signals until a stop signal, on which it shuts the process down, or until a server fails.
func (n *Node) supervise(ctx context.Context, path string, sig Signals, s *servers) error {
	metricsTick := time.NewTicker(limits.MetricsLogInterval)
	defer metricsTick.Stop()
	for {
		select {
		case <-metricsTick.C:
			n.logMetrics(ctx, slog.LevelDebug)
		case err := <-s.failed:
			if err != nil {
				return err
			}
		case <-sig.Reload:
			n.reloadSeeds(path)
		case <-sig.Stop:
			n.shutDown(ctx, s.frontend)
			n.logMetrics(ctx, slog.LevelInfo)
			return nil
		}
	}
}

// reloadSeeds reads the settings file again and applies its seed nodes. All other settings remain unchanged.
func (n *Node) reloadSeeds(path string) {
	cfg, err := nodeconfig.Load(path)
	if err != nil {
		n.log.Error("seed nodes not reloaded", "err", err)
		return
	}
	n.cfg.SeedNodes = cfg.SeedNodes
	n.discovery.step(discovery.Gossip{Event: gossip.SeedsChanged{Addrs: n.seeds()}})
	n.log.Info("seed nodes reloaded")
}
