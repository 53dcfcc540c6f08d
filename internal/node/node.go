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

// Node is one process of the fleet. Its parts are set before the first goroutine starts, and stay.
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
	redirects atomic.Uint32 // operators' calls that were redirected to a replica
	stopping  atomic.Bool   // the shutdown has begun
}

// Signals are the signals of the operating system that a running process obeys.
type Signals struct {
	Stop   <-chan os.Signal // shut down gracefully
	Reload <-chan os.Signal // read the seed nodes again
}

// Run runs a process with the settings file at path until it gets the signal to stop. The error says why it could not start, or
// which of its servers failed.
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

// seconds is a setting in seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleep waits for d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
