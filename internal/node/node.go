package node

import (
	"context"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"notchhinge/internal/config/nodeconfig"
	"notchhinge/internal/control/configcache"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/control/transport"
)

// Node is a process.
type Node struct {
	cfg           *nodeconfig.Config
	log           *slog.Logger
	transport     *transport.Transport
	discovery     *discoveryHost
	replica       *replicaHost   // nil where there is no disk
	dataPlane     *dataPlane     // nil where no traffic is carried
	singleton     *singletonHost // nil where there is no disk
	currentConfig atomic.Pointer[fleetconfig.Config]
	traffic       metrics.Traffic
	startedAt     time.Time

	applyMu         sync.Mutex    // one configuration is taken over at a time
	currentIndex    atomic.Uint64 // of the newest configuration that is held here
	configCache     configcache.Cache
	newestIndex     atomic.Uint64 // of the newest that is known of
	quorumConfirmed atomic.Bool   // a keeper that reached a majority has said what the newest is
	replicaAnswered atomic.Bool   // some keeper has said what it has
	redirects       atomic.Uint32 // callers that were sent to a keeper
	fetchRequests   chan gossip.Peer
	stopping        atomic.Bool
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
	log = log.With("node", cfg.NodeName)
	runtime.GOMAXPROCS(max(1, int(cfg.Machine.CPUCores+0.5)))
	debug.SetMemoryLimit(int64(cfg.Machine.MemoryMB) << 20 * 6 / 10)
	n := &Node{cfg: cfg, log: log, startedAt: time.Now(), fetchRequests: make(chan gossip.Peer, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := n.open(ctx); err != nil {
		return err
	}
	defer func() {
		n.transport.Close()
		if k := n.replica; k != nil {
			k.close()
		}
	}()
	return n.serve(ctx, path, sig)
}
