package router

import (
	"context"
	"fmt"
	"os"
	"time"

	"notchhinge/internal/config/operatorconfig"
	"notchhinge/internal/config/platformconfig"
	"notchhinge/internal/reconcile"
	"notchhinge/internal/trace"
	"notchhinge/internal/trace/export"
)

// exporter exports the trace records of requests. Put does not block.
type exporter interface {
	Put(*trace.Record)
	Counters() export.Counters
	Close(context.Context)
}

// traces passes the trace records of requests to the configured exporters.
type traces struct {
	names        []string // of the exporters, for log keys
	exporters    []exporter
	drainTimeout time.Duration // bounds close
}

// TraceOptions returns the options of the trace recorder for a configuration, a plan and the trace settings.
func TraceOptions(cfg *platformconfig.Config, p *reconcile.Plan, s *operatorconfig.Trace) trace.Options {
	o := trace.Options{
		Router: cfg.RouterName, Seed: cfg.Seed, Share: *s.SampleRatio, PerSecond: *s.MaxSamplesPerS, LatencyMargin: time.Duration(*s.LatencyMargin),
		MarkAllSampled: s.PropagateSampled == "all", Operations: s.PendingMB << 20 / trace.OperationBytes, CompletionGrace: cfg.Limits.TraceCompletionGrace,
	}
	for _, pool := range p.Pools {
		for _, c := range pool.Module.Settings.Classes {
			o.RetryWindow = max(o.RetryWindow, c.Deadline)
		}
	}
	return o
}

// traceClasses returns the classes of a module with their latency targets, as the trace recorder needs them.
func traceClasses(m *platformconfig.Module) (classes []trace.Class) {
	for i, c := range m.Settings.Classes {
		class := trace.Class{Name: c.Name, TargetLatency: c.TargetLatency, TargetLatencyPerKTokens: c.TargetLatencyPerKTokens}
		if i < len(m.TokenLatencyTargets) {
			class.TokenLatencyTarget = m.TokenLatencyTargets[i]
		}
		classes = append(classes, class)
	}
	return classes
}

// EnableTracing records traces of requests and passes them to the exporters of the settings. It must be called before Serve and
// EnableBatch.
func (r *Router) EnableTracing(s *operatorconfig.Trace, version string) error {
	t := &traces{}
	if o := s.OTLP; o != nil {
		headers, err := export.ParseHeaders(os.Getenv(o.HeadersEnv))
		if err != nil {
			return fmt.Errorf("%s: %w", o.HeadersEnv, err)
		}
		e, err := export.NewOTLP(export.OTLPOptions{
			Endpoint: o.Endpoint, Headers: headers, Queue: o.QueueMB << 20, Timeout: time.Duration(*o.CallTimeout),
			Router: r.cfg.RouterName, Version: version, Log: r.log,
		})
		if err != nil {
			return err
		}
		t.names, t.exporters, t.drainTimeout = append(t.names, "otlp"), append(t.exporters, e), time.Duration(*o.DrainTimeout)
	}
	if f := s.File; f != nil {
		e, err := export.NewFile(export.FileOptions{
			Path: f.Path, Max: int64(f.MaxMB) << 20, Files: f.MaxFiles, Flush: time.Duration(*f.FlushInterval),
			Queue: f.QueueMB << 20, Log: r.log,
		})
		if err != nil {
			return fmt.Errorf("trace.file: %w", err)
		}
		t.names, t.exporters = append(t.names, "file"), append(t.exporters, e)
	}
	r.traces = t
	r.frontend.TraceRequests = true
	r.dispatcher.Trace(TraceOptions(r.cfg, r.initialPlan, s))
	return nil
}

// put performs dispatch.ExportTrace: it queues a record at every exporter.
func (t *traces) put(record *trace.Record) {
	for _, e := range t.exporters {
		e.Put(record)
	}
}

// close sends the queued records, for at most drainTimeout, and closes the exporters.
func (t *traces) close() {
	ctx, cancel := context.WithTimeout(context.Background(), t.drainTimeout)
	defer cancel()
	for _, e := range t.exporters {
		e.Close(ctx)
	}
}

// counterArgs returns the counters of the recorder and of each exporter as arguments of a log call.
func (t *traces) counterArgs(c *trace.Counters) []any {
	args := []any{
		"taken", c.Started, "kept", c.Exported, "share", c.Sampled, "dropped", c.Dropped, "early", c.Evicted,
		"limited", c.RateLimited, "linked", c.Retries, "held", c.Pending,
	}
	for i, exporter := range t.exporters {
		e := exporter.Counters()
		args = append(args, t.names[i]+"_put", e.Put, t.names[i]+"_sent", e.Sent, t.names[i]+"_spans", e.Spans,
			t.names[i]+"_lost", e.Lost, t.names[i]+"_lost_kept", e.LostKept, t.names[i]+"_rejected", e.Rejected,
			t.names[i]+"_waiting", e.Waiting)
	}
	return args
}
