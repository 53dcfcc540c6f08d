package node

import (
	"context"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"notchhinge/internal/config/nodeconfig"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/control/transport"
)

// Node is one process of the fleet. Its components are set before the first goroutine starts and do not change.
type Node struct {
	cfg       *nodeconfig.Config
	log       *slog.Logger
	startedAt time.Time

	transport *transport.Transport
	discovery *discoveryHost
	configs   *configSync
	replica   *replicaHost   // nil unless the process is a replica
	singleton *singletonHost // nil unless the process is a replica and the platform has a cloud API
	dataPlane *dataPlane     // nil unless the process has a frontend

	traffic   metrics.Traffic
	redirects atomic.Uint32 // number of operator calls that were redirected to a replica
	stopping  atomic.Bool   // the shutdown has started
}

// Signals are the operating system signals that Run handles.
type Signals struct {
	Stop   <-chan os.Signal // shut down gracefully
	Reload <-chan os.Signal // reload the seed nodes
}

// Run runs a process with the settings file at path until sig.Stop receives a signal. It returns an error if the process
// cannot start or one of its servers fails.
func Run(path string, log *slog.Logger, sig Signals) error {
	cfg, err := nodeconfig.Load(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(cfg.Machine.CPUCores+0.5)))
	debug.SetMemoryLimit(int64(cfg.Machine.MemoryMB) << 20 * 6 / 10)
	n := &Node{cfg: cfg, log: log.With("node", cfg.NodeName), startedAt: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := n.open(ctx); err != nil {
		return err
	}
	defer n.close()
	return n.serve(ctx, path, sig)
}

// seconds converts a setting in seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleep waits for d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
