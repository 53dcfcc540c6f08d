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

// cost measures what tracing takes from a router whose one core is full: two routers, one with tracing and one without,
// are asked in turns by clients that ask again as soon as they are answered, before boxes that answer at once. A pair
// of turns is a sample; the order within a pair changes.
func cost(ctx context.Context, r *run) error {
	o := r.options([]string{"off", "on"}, map[string]string{
		"on": fmt.Sprintf("[trace]\nshare = %g\n[trace.file]\npath = %q\n", r.Trace.Share, filepath.Join(r.dir, "traces.zst")),
	})
	o.Boxes, o.Pin = 0, true
	f, err := fleet.StartWith(ctx, o, func(f *fleet.Fleet) error {
		for i := range r.Fleet.Boxes {
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
	var ratios, cpus, busy []float64
	var used, resident [2][]float64
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
			used[n], resident[n] = append(used[n], cpu[n]), append(resident[n], float64(now)/(1<<20))
		}
		ratios, cpus = append(ratios, rate[1]/rate[0]), append(cpus, cpu[1]/cpu[0])
		busy = append(busy, rate[0]*cpu[0]/1e6)
		if round%10 != 9 && round != r.rounds-1 {
			continue
		}
		r.say("pair %d of %d: %.0f a second off, %.0f on, ratio %.3f; %.1f and %.1f µs of CPU a request", round+1, r.rounds,
			rate[0], rate[1], rate[1]/rate[0], cpu[0], cpu[1])
	}
	var memory [2]float64 // most resident
	for n, router := range f.Routers {
		_, most, err := router.Memory()
		if err != nil {
			return err
		}
		memory[n] = float64(most) / (1 << 20)
	}
	res := r.result
	throughput := res.Ratio("throughput, on against off", ratios, "pairs, geometric mean")
	res.Ratio("CPU a request, on against off", cpus, "by the process's own account")
	res.Mean("CPU a request, off", used[0], "µs", "")
	res.Mean("CPU a request, on", used[1], "µs", "")
	res.Mean("share of the core that the router used, off", busy, "", "")
	late := len(resident[0]) / 2 // once the tables are full
	without := res.Mean("memory, off", resident[0][late:], "MB", "resident after a turn, second half of the run")
	with := res.Mean("memory, on", resident[1][late:], "MB", "")
	res.Add("most memory, off", memory[0], "MB", "")
	res.Add("most memory, on", memory[1], "MB", "")
	res.Bars = append(res.Bars,
		report.NewBar("throughput with tracing against without", throughput, "", r.Bars["throughput"], math.MaxFloat64, ""),
		report.NewBar("memory that tracing adds", with-without, "MB", -math.MaxFloat64, r.Bars["memory_mb"], ""))
	if err := f.Stop(); err != nil {
		return err
	}
	n, err := account(f.Routers[1].Tail())
	if err != nil {
		return err
	}
	res.Add("tries traced", float64(n["taken"]), "", fmt.Sprintf("%d kept, %d of them ordinary; %d decided early for want of memory", n["kept"], n["share"], n["early"]))
	res.Charts = append(res.Charts, report.Chart{
		File: "throughput.svg", Title: "Requests a second with one full core", X: "pair",
		Y: "requests a second", Series: rates[:],
	})
	return nil
}

// saturate has connections ask one request after another, and returns how many were served.
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
			e := ask(ctx, addr, uint64(until.UnixNano())*uint64(r.Traffic.Clients)+uint64(n)<<20, r.classes[0].Name, until, own)
			mu.Lock()
			latency.Merge(own)
			err = errors.Join(err, e)
			mu.Unlock()
		}()
	}
	all.Wait()
	return latency.TotalCount(), err
}

// ask is one connection that asks until a time, each time in a new conversation: ids count from first on.
func ask(ctx context.Context, addr string, first uint64, class string, until time.Time, to *hdrhistogram.Histogram) error {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	br := bufio.NewReader(c)
	const body = `{"model":"lab","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"which runs began today?"}]}`
	var head []byte
	for i := uint64(0); time.Now().Before(until) && ctx.Err() == nil; i++ {
		id := (first + i) * 0x9e3779b97f4a7c15 // odd, so that no two meet
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
			return fmt.Errorf("answer %d: %w", resp.StatusCode, err)
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("answer %d", resp.StatusCode)
		}
		if err := to.RecordValue(time.Since(began).Microseconds()); err != nil {
			return err
		}
	}
	return nil
}
