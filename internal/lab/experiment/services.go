package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"notchhinge/internal/lab/fleet"
	"notchhinge/internal/lab/load"
	"notchhinge/internal/lab/report"
	"notchhinge/internal/lab/standin"
)

// Host names of the two services.
const (
	runsHost  = "runs.example.org"
	calibHost = "calib.example.org"
)

// engineRequest is a request as an engine received it.
type engineRequest struct {
	engine, host, id string
	at               time.Time
}

// serviceFleet is a fleet with one router and two services, each with its own pool and discovery.
type serviceFleet struct {
	*fleet.Fleet
	calib   *standin.Discovery
	engines []*standin.Engine // of the second service
	control string

	mu       sync.Mutex
	requests []engineRequest
}

// recordRequest stores a request that an engine received.
func (t *serviceFleet) recordRequest(engine, host, id string, at time.Time) {
	t.mu.Lock()
	t.requests = append(t.requests, engineRequest{engine, host, id, at})
	t.mu.Unlock()
}

// startServices starts the router and two discovery servers, with separate engines or with shared ones.
func (r *run) startServices(ctx context.Context, sharedEngines bool, config func(*serviceFleet) string) (*serviceFleet, error) {
	t := &serviceFleet{control: filepath.Join(r.dir, "control")}
	o := r.fleetOptions([]string{"services"}, map[string]string{})
	o.Engines = 0
	var err error
	t.Fleet, err = fleet.StartWith(ctx, o, func(f *fleet.Fleet) error {
		var err error
		if t.calib, err = standin.StartDiscovery("127.0.0.1:0", 0); err != nil {
			return err
		}
		for n := range 2 * r.Fleet.Engines {
			engine := &standin.Engine{Params: o.Params, OnRequest: t.recordRequest}
			switch {
			case sharedEngines && n >= r.Fleet.Engines:
				continue
			case sharedEngines:
				engine.Name, engine.Discovery, engine.SecondDiscovery = fmt.Sprintf("s-%d", n), f.Discovery, t.calib
			case n < r.Fleet.Engines:
				engine.Name, engine.Discovery = fmt.Sprintf("runs-%d", n), f.Discovery
			default:
				engine.Name, engine.Discovery = fmt.Sprintf("calib-%d", n-r.Fleet.Engines), t.calib
			}
			if err := engine.Start("127.0.0.1:0", false); err != nil {
				return err
			}
			if f.Engines = append(f.Engines, engine); n >= r.Fleet.Engines {
				t.engines = append(t.engines, engine)
			}
		}
		o.Settings["services"] = config(t)
		return nil
	})
	if err != nil {
		return nil, err
	}
	for n := range 100 { // the second pool's endpoints arrive after the first's
		pools, err := t.fetchState(ctx)
		if err != nil {
			return nil, err
		}
		if slices.IndexFunc(pools.Pools, func(p poolState) bool { return p.Ready == 0 }) < 0 {
			break
		}
		if n == 99 {
			return nil, errors.New("a pool has no ready engines")
		}
		time.Sleep(50 * time.Millisecond)
	}
	return t, nil
}

// stop stops the fleet and the second discovery server.
func (t *serviceFleet) stop() error {
	err := t.Fleet.Stop()
	_ = t.calib.Close() // no client is left
	return err
}

type poolState struct {
	Name  string `json:"name"`
	Ready int    `json:"ready"`
}

type routerState struct {
	Generation int         `json:"generation"`
	Pools      []poolState `json:"pools"`
}

// fetchState reads the state of the pools from the router's control socket.
func (t *serviceFleet) fetchState(ctx context.Context) (s routerState, err error) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", t.control)
	}}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://control/pools", nil)
	if err != nil {
		return s, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// reload replaces the router's configuration file, sends SIGHUP and waits until the new configuration is active.
func (t *serviceFleet) reload(ctx context.Context, text string, signals int) error {
	before, err := t.fetchState(ctx)
	if err != nil {
		return err
	}
	router := t.Routers[0]
	if err := os.WriteFile(router.ConfigFile, []byte(text), 0o600); err != nil {
		return err
	}
	for range signals {
		if err := router.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	for range 500 {
		s, err := t.fetchState(ctx)
		if err != nil {
			return err
		}
		if s.Generation > before.Generation {
			return nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return fmt.Errorf("the router did not reload its configuration\n%s", router.Tail())
}

// config returns the text of the router's configuration file.
func (t *serviceFleet) config(services, pools string) string {
	return fmt.Sprintf("[control]\npath = %q\n%s%s", t.control, services, pools)
}

func serviceConfig(name, host, pool string) string {
	return fmt.Sprintf("[[service]]\nname = %q\n%s\n[[service.route]]\nhost = %q\nprefix = \"/v1\"\n", name, pool, host)
}

func (t *serviceFleet) runsPoolConfig() string { return "[[pool]]\nname = \"runs\"\n" }
func (t *serviceFleet) calibPoolConfig() string {
	return fmt.Sprintf("[[pool]]\nname = \"calib\"\ndiscovery = %q\n", t.calib.Addr())
}

// defaultConfig routes each service to its own pool.
func (t *serviceFleet) defaultConfig() string {
	return t.config(serviceConfig("runs", runsHost, `pool = "runs"`)+serviceConfig("calib", calibHost, `pool = "calib"`), t.runsPoolConfig()+t.calibPoolConfig())
}

// sendPlan sends a plan's requests to a service and returns all attempts.
func (r *run) sendPlan(ctx context.Context, t *serviceFleet, host string, plan []load.Request, seed uint64) []load.Attempt {
	c := &load.Client{Routers: t.Addrs(), Host: host, Retries: r.Traffic.Retries, MaxRetryDelay: 50 * time.Millisecond, Seed: seed}
	defer c.Close()
	l := &load.Ledger{}
	c.Run(ctx, plan, l)
	return l.Attempts()
}

// drawPlan draws a plan of requests. Turns with the same seed get different sessions, so that no turn hits prefixes that
// an earlier one has cached.
func (r *run) drawPlan(seed uint64, rate float64, length time.Duration, turn int) []load.Request {
	plan := load.Plan(seed, r.classes, rate, length, 1, load.ClientMix{RetryMarkShare: 1})
	for i := range plan {
		plan[i].Session ^= uint64(turn+1) << 32
	}
	return plan
}

// violations counts attempts with a lost, wrong or conflicting response, and describes up to three of them.
func violations(attempts []load.Attempt) (n int, examples []string) {
	for i := range attempts {
		if attempt := &attempts[i]; attempt.Outcome == load.Wrong || attempt.Outcome == load.Lost || attempt.Status == http.StatusConflict {
			n++
			if len(examples) < 3 {
				examples = append(examples, fmt.Sprintf("%s: %s %d %s", attempt.CallID, attempt.Outcome, attempt.Status, attempt.Detail))
			}
		}
	}
	return n, examples
}

// runServices measures isolation: the value that one service serves in time while the other is overloaded, hung or drained,
// relative to the value while the other is idle. Paired turns with the same requests are interleaved.
func runServices(ctx context.Context, r *run) error {
	t, err := r.startServices(ctx, false, func(t *serviceFleet) string { return t.defaultConfig() })
	if err != nil {
		return err
	}
	defer func() { _ = t.stop() }() // the first error is returned
	conditions := []string{"overloaded", "hung", "drained"}
	ratios, valueShares, outcomesOf := map[string][]float64{}, map[string][]float64{}, map[string]map[load.Outcome]int{}
	firstEvent := map[string]*hdrhistogram.Histogram{} // of the first service, by condition of the second: time to first event in µs
	for _, condition := range append(conditions, "") {
		firstEvent[condition] = hdrhistogram.New(1, 600_000_000, 3)
	}
	var attempts []load.Attempt
	turn := 0
	runTurn := func(seed uint64, condition string) (float64, error) {
		turn++
		plan := r.drawPlan(seed, r.Traffic.Rate, r.length, turn)
		var calib []load.Request
		switch condition {
		case "":
		case "alone":
			plan, calib = nil, r.drawPlan(seed+1, r.Services.Rate, r.length, turn)
		case "overloaded":
			calib = r.drawPlan(seed+1, 3*r.Services.Rate, r.length, turn)
		default:
			calib = r.drawPlan(seed+1, 0.6*r.Services.Rate, r.length, turn)
		}
		if condition == "hung" {
			for _, engine := range t.engines[:len(t.engines)/2] {
				engine.SetFault(standin.StallFirst, 0)
			}
		}
		var wait sync.WaitGroup
		var own, other []load.Attempt
		var drained error
		wait.Go(func() { own = r.sendPlan(ctx, t, runsHost, plan, seed) })
		wait.Go(func() { other = r.sendPlan(ctx, t, calibHost, calib, seed+1) })
		if condition == "drained" { // its service is removed from the configuration under load
			wait.Go(func() {
				time.Sleep(r.length / 3)
				drained = t.reload(ctx, t.config(serviceConfig("runs", runsHost, `pool = "runs"`), t.runsPoolConfig()), 1)
			})
		}
		wait.Wait()
		if drained != nil {
			return 0, drained
		}
		switch condition {
		case "hung":
			for _, engine := range t.engines {
				engine.SetFault(standin.NoFault, 0)
			}
		case "drained":
			if err := t.reload(ctx, t.defaultConfig(), 1); err != nil {
				return 0, err
			}
			time.Sleep(500 * time.Millisecond) // its endpoints are listed again
		}
		attempts = append(append(attempts, own...), other...)
		if outcomesOf[condition] == nil {
			outcomesOf[condition] = map[load.Outcome]int{}
		}
		for i := range other {
			outcomesOf[condition][other[i].Outcome]++
		}
		share := load.ValueShare(plan, own)
		for i := range own {
			if attempt := &own[i]; attempt.Outcome == load.Served && firstEvent[condition] != nil {
				// Deadlines keep every value below the histogram's limit of 600 s.
				_ = firstEvent[condition].RecordValue(max(attempt.First.Sub(attempt.Sent).Microseconds(), 1))
			}
		}
		if condition != "" {
			valueShares[condition+", the other"] = append(valueShares[condition+", the other"], load.ValueShare(calib, other))
		}
		time.Sleep(time.Duration(float64(time.Second) / r.Fleet.Speed * 4)) // requests in flight end
		return share, ctx.Err()
	}
	for n, condition := range []string{"", "alone", "alone", "alone"} { // fills caches; only the last turn is kept
		delete(valueShares, "alone, the other")
		if _, err := runTurn(r.Seed+uint64(n), condition); err != nil {
			return err
		}
	}
	for _, h := range firstEvent {
		h.Reset()
	}
	for round := range r.rounds {
		for i, condition := range conditions {
			seed := r.Seed + uint64(100*round+10*i+10)
			var shares [2]float64
			for k := range 2 {
				n := (round + k) % 2
				turnCondition := condition
				if n == 0 {
					turnCondition = ""
				}
				if shares[n], err = runTurn(seed, turnCondition); err != nil {
					return err
				}
			}
			ratios[condition] = append(ratios[condition], shares[1]/shares[0])
			valueShares[condition] = append(valueShares[condition], shares[1])
			valueShares["idle"] = append(valueShares["idle"], shares[0])
			r.printf("pair %d of %d, other service %s: value served in time %.4f, %.4f with it idle", round+1, r.rounds, condition, shares[1], shares[0])
		}
	}
	if err := t.stop(); err != nil {
		return err
	}
	invalid, examples := violations(attempts)
	misrouted := 0
	for _, request := range t.requests {
		if want := map[string]string{runsHost: "runs-", calibHost: "calib-"}[request.host]; want == "" || request.engine[:len(want)] != want {
			misrouted++
		}
	}
	res := r.result
	res.Add("tries", float64(len(attempts)), "", fmt.Sprint(examples))
	res.Mean("value served in time by the other service alone, at the rate that overload triples", valueShares["alone, the other"], "", "")
	res.Mean("value served in time, other service idle", valueShares["idle"], "", "share of the value of all requests")
	for _, condition := range append([]string{""}, conditions...) {
		h, name := firstEvent[condition], condition
		if name == "" {
			name = "idle"
		}
		res.Add("time to first event, other service "+name, float64(h.ValueAtQuantile(50))/1e3, "ms",
			fmt.Sprintf("median; 99 of 100 within %.0f ms", float64(h.ValueAtQuantile(99))/1e3))
	}
	chart := report.Chart{File: "worth.svg", Title: "Value served in time, relative to that with the other service idle", X: "pair", Y: "ratio"}
	for _, condition := range conditions {
		res.Mean("value served in time, other service "+condition, valueShares[condition], "", "")
		res.Mean("value served in time by the other service, "+condition, valueShares[condition+", the other"], "", outcomes(outcomesOf[condition]))
		ratio := res.Ratio("ratio of pairs, other service "+condition, ratios[condition], "geometric mean")
		res.Criteria = append(res.Criteria, report.NewCriterion("value served in time, relative to idle, other service "+condition, ratio, "", r.Thresholds["worth"], math.MaxFloat64, ""))
		s := report.Series{Name: condition}
		for i, v := range ratios[condition] {
			s.Points = append(s.Points, report.Point{X: float64(i + 1), Y: v})
		}
		chart.Series = append(chart.Series, s)
	}
	res.Criteria = append(res.Criteria,
		report.NewCriterion("lost, duplicated or wrong responses", float64(invalid), "", 0, 0, fmt.Sprintf("of %d attempts", len(attempts))),
		report.NewCriterion("requests at an engine of the other service", float64(misrouted), "", 0, 0, fmt.Sprintf("of %d", len(t.requests))))
	res.Charts = append(res.Charts, chart)
	return nil
}

// outcomes formats the number of attempts by outcome.
func outcomes(n map[load.Outcome]int) string {
	s := "tries:"
	for _, o := range slices.Sorted(maps.Keys(n)) {
		s += fmt.Sprintf(" %d %s", n[o], o)
	}
	return s
}

// runReloads reloads the router's configuration repeatedly under load, with different routes, weights or pools each time. It
// checks that every request follows the routes that were active when it arrived, and that memory does not grow.
func runReloads(ctx context.Context, r *run) error {
	t, err := r.startServices(ctx, false, func(t *serviceFleet) string { return t.defaultConfig() })
	if err != nil {
		return err
	}
	defer func() { _ = t.stop() }() // the first error is returned
	pool := func(name, more string) string { return fmt.Sprintf("[[pool]]\nname = %q\n%s", name, more) }
	some := `select = {names = ["runs-[0-3]"]}` + "\n"
	files := []struct {
		text    string
		swapped bool // each service is served by the other's pool
	}{
		{t.defaultConfig(), false},
		{t.config(serviceConfig("runs", runsHost, `pool = "calib"`)+serviceConfig("calib", calibHost, `pool = "runs"`), t.runsPoolConfig()+t.calibPoolConfig()), true},
		{t.config(serviceConfig("runs", runsHost, `split = [{pool = "runs", weight = 90.0}, {pool = "some", weight = 10.0}]`)+
			serviceConfig("calib", calibHost, `pool = "calib"`), t.runsPoolConfig()+t.calibPoolConfig()+pool("some", some)), false},
		{t.config(serviceConfig("runs", runsHost, `split = [{pool = "runs", weight = 50.0}, {pool = "some", weight = 50.0}]`)+
			serviceConfig("calib", calibHost, `pool = "calib"`), t.runsPoolConfig()+t.calibPoolConfig()+pool("some", some+"[pool.limits]\nguarantee = 0.2\n")), false},
		{t.config(serviceConfig("runs", runsHost, `pool = "renamed"`)+serviceConfig("calib", calibHost, `pool = "calib"`),
			pool("renamed", "was = \"runs\"\n")+t.calibPoolConfig()), false},
		{t.config(serviceConfig("runs", runsHost, `pool = "runs"`)+serviceConfig("calib", calibHost, `pool = "calib"`),
			pool("runs", "was = \"renamed\"\n")+t.calibPoolConfig()), false},
	}
	type change struct {
		from, to time.Time
		swapped  bool
	}
	var changes []change
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	length := time.Duration(r.rounds) * time.Duration(float64(r.length)/float64(r.rounds))
	var wait sync.WaitGroup
	ledgers := make([][]load.Attempt, 2)
	for i, host := range []string{runsHost, calibHost} {
		wait.Go(func() {
			plan := r.drawPlan(r.Seed+uint64(i), []float64{r.Traffic.Rate, r.Services.Rate * 0.6}[i], length, 0)
			ledgers[i] = r.sendPlan(ctx, t, host, plan, r.Seed+uint64(i))
		})
	}
	began := time.Now()
	interval := length / time.Duration(r.rounds)
	var memory []report.Point
	for n := range r.rounds {
		f := files[n%len(files)]
		c := change{from: time.Now(), swapped: f.swapped}
		if err := t.reload(ctx, f.text, 1+n%10/9); err != nil { // every tenth reload sends two signals at once
			return err
		}
		c.to = time.Now()
		changes = append(changes, c)
		now, _, err := t.Routers[0].Memory()
		if err != nil {
			return err
		}
		memory = append(memory, report.Point{X: float64(n + 1), Y: float64(now) / (1 << 20)})
		if n%100 == 99 {
			r.printf("%d reloads of %d; %.1f MB", n+1, r.rounds, memory[n].Y)
		}
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * interval)))
	}
	wait.Wait()
	if err := t.stop(); err != nil {
		return err
	}
	var attempts []load.Attempt
	byID := map[string][]engineRequest{}
	for _, request := range t.requests {
		byID[request.id] = append(byID[request.id], request)
	}
	var misrouted, checked, ambiguous int
	for i, ledger := range ledgers {
		attempts = append(attempts, ledger...)
		for k := range ledger {
			attempt := &ledger[k]
			// The router selected the route between these two times. Attempts that overlap a reload are skipped.
			first, last := attempt.Due, attempt.Sent.Add(20*time.Millisecond)
			swapped, certain := false, true
			for _, c := range changes {
				if !c.to.Before(first) && !c.from.After(last) {
					certain = false
				}
				if c.to.Before(first) {
					swapped = c.swapped
				}
			}
			if !certain {
				ambiguous++
				continue
			}
			want := "runs-"
			if (i == 1) != swapped {
				want = "calib-"
			}
			for _, request := range byID[attempt.CallID] {
				checked++
				if request.engine[:len(want)] != want {
					misrouted++
				}
			}
		}
	}
	invalid, examples := violations(attempts)
	res := r.result
	res.Add("reloads", float64(r.rounds), "", "the file changes each time; every tenth reload sends two signals")
	res.Add("tries", float64(len(attempts)), "", fmt.Sprint(examples))
	res.Add("upstream attempts checked against the active routes", float64(checked), "", fmt.Sprintf("%d attempts overlapped a reload and were skipped", ambiguous))
	var took []float64
	for _, c := range changes {
		took = append(took, float64(c.to.Sub(c.from))/1e6)
	}
	res.Mean("from the signal until the new configuration is active", took, "ms", "")
	tenth := max(len(memory)/10, 1)
	mean := func(p []report.Point) (m float64) {
		for _, x := range p {
			m += x.Y / float64(len(p))
		}
		return m
	}
	grown := mean(memory[len(memory)-tenth:]) - mean(memory[tenth:2*tenth])
	res.Criteria = append(res.Criteria,
		report.NewCriterion("lost, duplicated or wrong responses", float64(invalid), "", 0, 0, fmt.Sprintf("of %d attempts", len(attempts))),
		report.NewCriterion("upstream attempts to a pool that the route did not name", float64(misrouted), "", 0, 0, fmt.Sprintf("of %d", checked)),
		report.NewCriterion("memory growth from the second tenth of the reloads to the last", grown, "MB", -math.MaxFloat64, r.Thresholds["memory_mb"], ""))
	res.Charts = append(res.Charts, report.Chart{
		File: "memory.svg", Title: "Resident memory over reloads", X: "reloads", Y: "MB",
		Series: []report.Series{{Name: "router", Points: memory}},
	})
	return nil
}

// runShared drains and restarts, one after the other and under load, engines that belong to two pools. The second pool's
// discovery learns of each change later. The requests that the engines received show whether the router sends too many to cold
// engines, or any to draining ones.
func runShared(ctx context.Context, r *run) error {
	const discoveryDelay = 2 * time.Second
	t, err := r.startServices(ctx, true, func(t *serviceFleet) string { return t.defaultConfig() })
	if err != nil {
		return err
	}
	defer func() { _ = t.stop() }() // the first error is returned
	t.calib.Delay = discoveryDelay
	var wait sync.WaitGroup
	plans := make([][]load.Request, 2)
	ledgers := make([][]load.Attempt, 2)
	for i, host := range []string{runsHost, calibHost} {
		plans[i] = r.drawPlan(r.Seed+uint64(i), []float64{r.Traffic.Rate, r.Services.Rate}[i], r.length, i)
		wait.Go(func() { ledgers[i] = r.sendPlan(ctx, t, host, plans[i], r.Seed+uint64(i)) })
	}
	type incarnation struct {
		name          string
		born, drained time.Time
		died          time.Time
	}
	var incarnations []incarnation
	const startDelay = 6 * time.Second // the router's decision modules start to observe engines within 5 s
	interval := (r.length - startDelay) / time.Duration(r.Fleet.Engines)
	var failed error
	wait.Go(func() {
		began := time.Now().Add(startDelay)
		for n, engine := range t.Engines {
			time.Sleep(time.Until(began.Add(time.Duration(n) * interval)))
			inc := incarnation{name: engine.Name, drained: time.Now()}
			engine.Drain()
			time.Sleep(min(1500*time.Millisecond, interval/3))
			engine.Kill()
			inc.died = time.Now()
			engine.Deregister()
			engine.Rename(engine.Name + "-r")
			incarnations = append(incarnations, inc, incarnation{name: engine.Name, born: time.Now()})
			if err := engine.Start(engine.Addr(), true); err != nil {
				failed = err
				return
			}
		}
	})
	wait.Wait()
	if failed != nil {
		return failed
	}
	if err := t.stop(); err != nil {
		return err
	}
	var arrivals [2][]time.Time
	var attempts []load.Attempt
	for i := range ledgers {
		attempts = append(attempts, ledgers[i]...)
		for k := range ledgers[i] {
			arrivals[i] = append(arrivals[i], ledgers[i][k].Sent)
		}
		slices.SortFunc(arrivals[i], time.Time.Compare)
	}
	between := func(times []time.Time, from, to time.Time) int {
		a, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
		z, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
		return z - a
	}
	byEngine, poolsOfEngine := map[string][]time.Time{}, map[string]map[string]int{}
	for _, request := range t.requests {
		byEngine[request.engine] = append(byEngine[request.engine], request.at)
		if poolsOfEngine[request.engine] == nil {
			poolsOfEngine[request.engine] = map[string]int{}
		}
		poolsOfEngine[request.engine][request.host]++
	}
	params := r.fleetOptions(nil, nil).Params
	var lateRequests, coldRequests, exceeded, windows int
	var latestMS, maxRatio float64
	for _, inc := range incarnations {
		at := byEngine[inc.name]
		slices.SortFunc(at, time.Time.Compare)
		if !inc.drained.IsZero() {
			for _, when := range at {
				if d := when.Sub(inc.drained); d > 0 && when.Before(inc.died) {
					latestMS = max(latestMS, float64(d)/1e6)
					if float64(d)/1e6 > r.Thresholds["drain_ms"] {
						lateRequests++
					}
				}
			}
			continue
		}
		for _, width := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
			for from := inc.born; from.Before(inc.born.Add(params.WarmUp)); from = from.Add(width / 5) {
				to := from.Add(width)
				share := params.ColdShare + (1-params.ColdShare)*min(float64(to.Sub(inc.born))/float64(params.WarmUp), 1)
				// A cold engine may get its share of the arrivals, spread over the other engines, plus one request carried
				// over. The window starts 50 ms early because requests need some time to reach the engine.
				allowed := 1.0
				for i := range arrivals {
					allowed += share * float64(between(arrivals[i], from.Add(-50*time.Millisecond), to)) / float64(r.Fleet.Engines-1)
				}
				got := between(at, from, to)
				windows++
				maxRatio = max(maxRatio, float64(got)/allowed)
				if float64(got) > math.Ceil(allowed) {
					exceeded++
				}
			}
		}
		coldRequests += between(at, inc.born, inc.born.Add(params.WarmUp))
	}
	invalid, examples := violations(attempts)
	res := r.result
	res.Add("tries", float64(len(attempts)), "", fmt.Sprint(examples))
	res.Add("engines drained and restarted cold", float64(len(incarnations)/2), "", fmt.Sprintf("the second pool's discovery reports it %v later", discoveryDelay))
	res.Add("requests to cold engines", float64(coldRequests), "", fmt.Sprintf("in %d windows of 0.5, 1 and 2 s", windows))
	res.Add("highest ratio of requests to the allowed number in a window", maxRatio, "", "")
	res.Add("latest request to a draining engine", latestMS, "ms", "after its drain was announced")
	for i, name := range []string{"first", "second"} {
		res.Add("value served in time by the "+name+" pool", load.ValueShare(plans[i], ledgers[i]), "", "")
	}
	fromBoth := 0
	for _, n := range poolsOfEngine {
		if n[runsHost] > 0 && n[calibHost] > 0 {
			fromBoth++
		}
	}
	res.Add("engines that got requests from both pools", float64(fromBoth), "", fmt.Sprintf("of %d", len(poolsOfEngine)))
	res.Criteria = append(res.Criteria,
		report.NewCriterion("windows in which a cold engine got more requests than allowed", float64(exceeded), "", 0, 0, fmt.Sprintf("of %d", windows)),
		report.NewCriterion("requests to a draining engine after its grace period", float64(lateRequests), "", 0, 0, fmt.Sprintf("later than %v ms", r.Thresholds["drain_ms"])),
		report.NewCriterion("lost, duplicated or wrong responses", float64(invalid), "", 0, 0, fmt.Sprintf("of %d attempts", len(attempts))))
	return nil
}
