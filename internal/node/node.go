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
	cfg    *nodeconfig.Config
	log    *slog.Logger
	net    *transport.Transport
	news   *hearsay
	keeper *keeper // nil where there is no disk
	data   *data   // nil where no traffic is carried
	duties *duties // nil where there is no disk
	conf   atomic.Pointer[fleetconfig.Config]
	spent  metrics.Traffic
	began  time.Time

	holding  sync.Mutex    // one configuration is taken over at a time
	place    atomic.Uint64 // of the newest configuration that is held here
	texts    configcache.Cache
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
	log = log.With("node", cfg.NodeName)
	runtime.GOMAXPROCS(max(1, int(cfg.Machine.CPUCores+0.5)))
	debug.SetMemoryLimit(int64(cfg.Machine.MemoryMB) << 20 * 6 / 10)
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
