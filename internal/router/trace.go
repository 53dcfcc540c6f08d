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

// sink is where records of journeys leave to. Put does not wait.
type sink interface {
	Put(*trace.Try)
	Counters() export.Counters
	Close(context.Context)
}

// traces is what a router does with journeys.
type traces struct {
	names []string
	sinks []sink
	drain time.Duration
}

// TraceOptions are those of a recorder for this router.
func TraceOptions(cfg *platformconfig.Config, p *reconcile.Plan, s *operatorconfig.Trace) trace.Options {
	o := trace.Options{
		Router: cfg.RouterName, Seed: cfg.Seed, Share: *s.SampleRatio, PerSecond: *s.MaxSamplesPerS, Margin: time.Duration(*s.LatencyMargin),
		TellAll: s.PropagateSampled == "all", Steps: s.PendingMB << 20 / trace.StepBytes, Linger: cfg.Limits.TraceCompletionGrace,
	}
	for _, q := range p.Pools {
		for _, c := range q.Module.Settings.Classes {
			o.Window = max(o.Window, c.Deadline)
		}
	}
	return o
}

// traceClasses are a module's classes as a recorder must know them.
func traceClasses(m *platformconfig.Module) (all []trace.Class) {
	for i, c := range m.Settings.Classes {
		k := trace.Class{Name: c.Name, Aim: c.TargetLatency, AimPerKTokens: c.TargetLatencyPerKTokens}
		if i < len(m.TokenLatencyTargets) {
			k.TokenAim = m.TokenLatencyTargets[i]
		}
		all = append(all, k)
	}
	return all
}

// EnableTracing has journeys recorded and sent where the settings say. It is called before Serve and Batch.
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
		t.names, t.sinks, t.drain = append(t.names, "otlp"), append(t.sinks, e), time.Duration(*o.DrainTimeout)
	}
	if f := s.File; f != nil {
		e, err := export.NewFile(export.FileOptions{
			Path: f.Path, Max: int64(f.MaxMB) << 20, Files: f.MaxFiles, Flush: time.Duration(*f.FlushInterval),
			Queue: f.QueueMB << 20, Log: r.log,
		})
		if err != nil {
			return fmt.Errorf("trace.file: %w", err)
		}
		t.names, t.sinks = append(t.names, "file"), append(t.sinks, e)
	}
	r.traces = t
	r.front.TraceRequests = true
	r.broker.Trace(TraceOptions(r.cfg, r.first, s))
	return nil
}

// keep does broker.Keep.
func (t *traces) keep(try *trace.Try) {
	for _, s := range t.sinks {
		s.Put(try)
	}
}

// close sends what is queued, within its bound.
func (t *traces) close() {
	ctx, cancel := context.WithTimeout(context.Background(), t.drain)
	defer cancel()
	for _, s := range t.sinks {
		s.Close(ctx)
	}
}

// account adds what became of the records to the counters that are printed.
func (t *traces) account(c *trace.Counters) []any {
	args := []any{
		"taken", c.Taken, "kept", c.Kept, "share", c.Share, "dropped", c.Dropped, "early", c.Early,
		"limited", c.Limited, "linked", c.Linked, "held", c.Held,
	}
	for i, s := range t.sinks {
		e := s.Counters()
		args = append(args, t.names[i]+"_put", e.Put, t.names[i]+"_sent", e.Sent, t.names[i]+"_spans", e.Spans,
			t.names[i]+"_lost", e.Lost, t.names[i]+"_lost_kept", e.LostKept, t.names[i]+"_rejected", e.Rejected,
			t.names[i]+"_waiting", e.Waiting)
	}
	return args
}
