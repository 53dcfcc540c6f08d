package experiment

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"notchhinge/internal/lab/fleet"
	"notchhinge/internal/lab/report"
	"notchhinge/internal/lab/standin"
)

// runCost measures the cost of tracing on a router with one saturated core. Closed-loop clients load two routers in turns, one
// with tracing and one without, in front of engines that respond at once. Each pair of turns is a sample; the order within a
// pair alternates.
func runCost(ctx context.Context, r *run) error {
	o := r.fleetOptions([]string{"off", "on"}, map[string]string{
		"on": fmt.Sprintf("[trace]\nshare = %g\n[trace.file]\npath = %q\n", r.Trace.Share, filepath.Join(r.dir, "traces.zst")),
	})
	o.Engines, o.PinRouters = 0, true
	f, err := fleet.StartWith(ctx, o, func(f *fleet.Fleet) error {
		for i := range r.Fleet.Engines {
			if _, err := standin.StartInstantEngine(fmt.Sprintf("q%d", i), f.Discovery); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	defer f.Stop()
	turn := func(n int, length time.Duration) (rate, cpu float64, err error) {
		router := f.Routers[n]
		before, err := router.CPU()
		if err != nil {
			return 0, 0, err
		}
		began := time.Now()
		served, err := r.saturate(ctx, router.Addr, length)
		took := time.Since(began)
		after, err2 := router.CPU()
		if err = errors.Join(err, err2); err != nil {
			return 0, 0, err
		}
		if served == 0 {
			return 0, 0, fmt.Errorf("router %s served nothing\n%s", router.Name, router.Tail())
		}
		return float64(served) / took.Seconds(), (after - before).Seconds() * 1e6 / float64(served), nil
	}
	for n := range f.Routers { // warm up
		if _, _, err := turn(n, r.length/2); err != nil {
			return err
		}
	}
	var ratios, cpuRatios, coreShares []float64
	var cpuSamples, resident [2][]float64
	rates := [2]report.Series{{Name: "off"}, {Name: "on"}}
	for round := range r.rounds {
		var rate, cpu [2]float64
		for k := range 2 {
			n := (round + k) % 2
			if rate[n], cpu[n], err = turn(n, r.length); err != nil {
				return err
			}
			rates[n].Points = append(rates[n].Points, report.Point{X: float64(round + 1), Y: rate[n]})
			now, _, err := f.Routers[n].Memory()
			if err != nil {
				return err
			}
			cpuSamples[n], resident[n] = append(cpuSamples[n], cpu[n]), append(resident[n], float64(now)/(1<<20))
		}
		ratios, cpuRatios = append(ratios, rate[1]/rate[0]), append(cpuRatios, cpu[1]/cpu[0])
		coreShares = append(coreShares, rate[0]*cpu[0]/1e6)
		if round%10 != 9 && round != r.rounds-1 {
			continue
		}
		r.printf("pair %d of %d: %.0f requests per second off, %.0f on, ratio %.3f; %.1f and %.1f µs of CPU per request", round+1, r.rounds,
			rate[0], rate[1], rate[1]/rate[0], cpu[0], cpu[1])
	}
	var memory [2]float64 // peak resident memory in MB
	for n, router := range f.Routers {
		_, peak, err := router.Memory()
		if err != nil {
			return err
		}
		memory[n] = float64(peak) / (1 << 20)
	}
	res := r.result
	throughput := res.Ratio("throughput, on relative to off", ratios, "pairs, geometric mean")
	res.Ratio("CPU per request, on relative to off", cpuRatios, "from /proc/PID/stat")
	res.Mean("CPU per request, off", cpuSamples[0], "µs", "")
	res.Mean("CPU per request, on", cpuSamples[1], "µs", "")
	res.Mean("share of the core that the router used, off", coreShares, "", "")
	steadyFrom := len(resident[0]) / 2 // by then the tables are full
	without := res.Mean("memory, off", resident[0][steadyFrom:], "MB", "resident after a turn, second half of the run")
	with := res.Mean("memory, on", resident[1][steadyFrom:], "MB", "")
	res.Add("peak memory, off", memory[0], "MB", "")
	res.Add("peak memory, on", memory[1], "MB", "")
	res.Criteria = append(res.Criteria,
		report.NewCriterion("throughput with tracing relative to without", throughput, "", r.Thresholds["throughput"], math.MaxFloat64, ""),
		report.NewCriterion("memory added by tracing", with-without, "MB", -math.MaxFloat64, r.Thresholds["memory_mb"], ""))
	if err := f.Stop(); err != nil {
		return err
	}
	n, err := routerCounters(f.Routers[1].Tail())
	if err != nil {
		return err
	}
	res.Add("attempts traced", float64(n["taken"]), "", fmt.Sprintf("%d kept, %d of them sampled; %d decided early because memory was short", n["kept"], n["share"], n["early"]))
	res.Charts = append(res.Charts, report.Chart{
		File: "throughput.svg", Title: "Requests per second with one saturated core", X: "pair",
		Y: "requests per second", Series: rates[:],
	})
	return nil
}

// saturate runs closed-loop clients for the given time, and returns the number of requests served.
func (r *run) saturate(ctx context.Context, addr string, length time.Duration) (served int64, err error) {
	until := time.Now().Add(length)
	var mu sync.Mutex
	latency := hdrhistogram.New(1, 60_000_000, 3) // µs
	var all sync.WaitGroup
	for n := range r.Traffic.Clients {
		all.Add(1)
		go func() {
			defer all.Done()
			own := hdrhistogram.New(1, 60_000_000, 3)
			e := requestLoop(ctx, addr, uint64(until.UnixNano())*uint64(r.Traffic.Clients)+uint64(n)<<20, r.classes[0].Name, until, own)
			mu.Lock()
			latency.Merge(own)
			err = errors.Join(err, e)
			mu.Unlock()
		}()
	}
	all.Wait()
	return latency.TotalCount(), err
}

// requestLoop sends requests one after another over one connection until a deadline, and records their latencies. Each
// request starts a new conversation; ids are derived from consecutive numbers from first on.
func requestLoop(ctx context.Context, addr string, first uint64, class string, until time.Time, to *hdrhistogram.Histogram) error {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	br := bufio.NewReader(c)
	const body = `{"model":"lab","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"which runs began today?"}]}`
	var head []byte
	for i := uint64(0); time.Now().Before(until) && ctx.Err() == nil; i++ {
		id := (first + i) * 0x9e3779b97f4a7c15 // multiplication by an odd number keeps ids distinct
		head = append(head[:0], "POST /v1/chat/completions HTTP/1.1\r\nHost: lab\r\nContent-Type: application/json\r\nX-Call-Id: "...)
		head = fmt.Appendf(head, "%016x\r\nX-Call-Class: %s\r\nX-Route-Hash: %016x\r\nX-Budget: 5000m\r\n"+
			"X-Call-Info: prompt_len=100,prefix_len=0,max_out=4\r\nContent-Length: %d\r\n\r\n%s",
			id, class, id, len(body), body)
		began := time.Now()
		if _, err := c.Write(head); err != nil {
			return err
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil {
			return fmt.Errorf("response %d: %w", resp.StatusCode, err)
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("response %d", resp.StatusCode)
		}
		if err := to.RecordValue(time.Since(began).Microseconds()); err != nil {
			return err
		}
	}
	return nil
}
