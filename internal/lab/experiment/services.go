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

// The two services, and where they are asked for.
const (
	runsHost  = "runs.example.org"
	calibHost = "calib.example.org"
)

// asked is a request as a box saw it.
type asked struct {
	box, host, id string
	at            time.Time
}

// two is a fleet of one router with two services.
type two struct {
	*fleet.Fleet
	calib   *standin.Discovery
	boxes   []*standin.Engine // of the second service
	control string

	mu    sync.Mutex
	asked []asked
}

func (t *two) hear(box, host, id string, at time.Time) {
	t.mu.Lock()
	t.asked = append(t.asked, asked{box, host, id, at})
	t.mu.Unlock()
}

// start starts two discoveries with boxes of their own, or with the same ones, and the router.
func (r *run) start(ctx context.Context, same bool, config func(*two) string) (*two, error) {
	t := &two{control: filepath.Join(r.dir, "control")}
	o := r.options([]string{"services"}, map[string]string{})
	o.Boxes = 0
	var err error
	t.Fleet, err = fleet.StartWith(ctx, o, func(f *fleet.Fleet) error {
		var err error
		if t.calib, err = standin.StartDiscovery("127.0.0.1:0", 0); err != nil {
			return err
		}
		for n := range 2 * r.Fleet.Boxes {
			b := &standin.Engine{Params: o.Params, OnRequest: t.hear}
			switch {
			case same && n >= r.Fleet.Boxes:
				continue
			case same:
				b.Name, b.Discovery, b.SecondDiscovery = fmt.Sprintf("s-%d", n), f.Discovery, t.calib
			case n < r.Fleet.Boxes:
				b.Name, b.Discovery = fmt.Sprintf("runs-%d", n), f.Discovery
			default:
				b.Name, b.Discovery = fmt.Sprintf("calib-%d", n-r.Fleet.Boxes), t.calib
			}
			if err := b.Start("127.0.0.1:0", false); err != nil {
				return err
			}
			if f.Boxes = append(f.Boxes, b); n >= r.Fleet.Boxes {
				t.boxes = append(t.boxes, b)
			}
		}
		o.Settings["services"] = config(t)
		return nil
	})
	if err != nil {
		return nil, err
	}
	for n := range 100 { // the second list comes after the first
		pools, err := t.state(ctx)
		if err != nil {
			return nil, err
		}
		if slices.IndexFunc(pools.Pools, func(p poolState) bool { return p.Ready == 0 }) < 0 {
			break
		}
		if n == 99 {
			return nil, errors.New("a pool has no boxes")
		}
		time.Sleep(50 * time.Millisecond)
	}
	return t, nil
}

func (t *two) stop() error {
	err := t.Fleet.Stop()
	_ = t.calib.Close() // a server of this program, which is done with
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

// state asks the router's control socket.
func (t *two) state(ctx context.Context) (s routerState, err error) {
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

// reload writes the router's file anew, has it read, and waits until it is carried out.
func (t *two) reload(ctx context.Context, text string, signals int) error {
	before, err := t.state(ctx)
	if err != nil {
		return err
	}
	router := t.Routers[0]
	if err := os.WriteFile(router.File, []byte(text), 0o600); err != nil {
		return err
	}
	for range signals {
		if err := router.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	for range 500 {
		s, err := t.state(ctx)
		if err != nil {
			return err
		}
		if s.Generation > before.Generation {
			return nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return fmt.Errorf("the router did not read its file\n%s", router.Tail())
}

// file is the router's file: which service goes to which pool, and the pools.
func (t *two) file(services, pools string) string {
	return fmt.Sprintf("[control]\npath = %q\n%s%s", t.control, services, pools)
}

func service(name, host, pool string) string {
	return fmt.Sprintf("[[service]]\nname = %q\n%s\n[[service.route]]\nhost = %q\nprefix = \"/v1\"\n", name, pool, host)
}

func (t *two) poolRuns() string { return "[[pool]]\nname = \"runs\"\n" }
func (t *two) poolCalib() string {
	return fmt.Sprintf("[[pool]]\nname = \"calib\"\ndiscovery = %q\n", t.calib.Addr())
}

func (t *two) plain() string {
	return t.file(service("runs", runsHost, `pool = "runs"`)+service("calib", calibHost, `pool = "calib"`), t.poolRuns()+t.poolCalib())
}

// ask has a service's clients ask a plan's calls.
func (r *run) ask(ctx context.Context, t *two, host string, plan []load.Request, seed uint64) []load.Attempt {
	c := &load.Client{Routers: t.Addrs(), Host: host, Retries: r.Traffic.Retries, MaxRetryDelay: 50 * time.Millisecond, Seed: seed}
	defer c.Close()
	l := &load.Ledger{}
	c.Run(ctx, plan, l)
	return l.Attempts()
}

// calls draws a plan. Turns that ask the same do so in other conversations, so that none finds another's prompts kept.
func (r *run) calls(seed uint64, rate float64, length time.Duration, turn int) []load.Request {
	plan := load.Plan(seed, r.classes, rate, length, 1, load.ClientMix{RetryMarkShare: 1})
	for i := range plan {
		plan[i].Session ^= uint64(turn+1) << 32
	}
	return plan
}

// bad counts what must not happen to any try.
func bad(tries []load.Attempt) (n int, examples []string) {
	for i := range tries {
		if t := &tries[i]; t.Outcome == load.Wrong || t.Outcome == load.Lost || t.Status == http.StatusConflict {
			n++
			if len(examples) < 3 {
				examples = append(examples, fmt.Sprintf("%s: %s %d %s", t.CallID, t.Outcome, t.Status, t.Detail))
			}
		}
	}
	return n, examples
}

// services holds one service's worth in time, with the other in trouble, against its worth with the other idle: paired
// turns that ask the same, interleaved.
func services(ctx context.Context, r *run) error {
	t, err := r.start(ctx, false, func(t *two) string { return t.plain() })
	if err != nil {
		return err
	}
	defer func() { _ = t.stop() }() // the first error counts
	troubles := []string{"overloaded", "hung", "drained"}
	ratios, worths, of := map[string][]float64{}, map[string][]float64{}, map[string]map[load.Outcome]int{}
	first := map[string]*hdrhistogram.Histogram{} // of the first service: µs until the first event
	for _, trouble := range append(troubles, "") {
		first[trouble] = hdrhistogram.New(1, 600_000_000, 3)
	}
	var tries []load.Attempt
	turn := 0
	play := func(seed uint64, trouble string) (float64, error) {
		turn++
		plan := r.calls(seed, r.Traffic.Rate, r.length, turn)
		var calib []load.Request
		switch trouble {
		case "":
		case "alone":
			plan, calib = nil, r.calls(seed+1, r.Services.Rate, r.length, turn)
		case "overloaded":
			calib = r.calls(seed+1, 3*r.Services.Rate, r.length, turn)
		default:
			calib = r.calls(seed+1, 0.6*r.Services.Rate, r.length, turn)
		}
		if trouble == "hung" {
			for _, b := range t.boxes[:len(t.boxes)/2] {
				b.SetFault(standin.StallFirst, 0)
			}
		}
		var both sync.WaitGroup
		var own, other []load.Attempt
		var drained error
		both.Go(func() { own = r.ask(ctx, t, runsHost, plan, seed) })
		both.Go(func() { other = r.ask(ctx, t, calibHost, calib, seed+1) })
		if trouble == "drained" { // its service is taken away at its peak
			both.Go(func() {
				time.Sleep(r.length / 3)
				drained = t.reload(ctx, t.file(service("runs", runsHost, `pool = "runs"`), t.poolRuns()), 1)
			})
		}
		both.Wait()
		if drained != nil {
			return 0, drained
		}
		switch trouble {
		case "hung":
			for _, b := range t.boxes {
				b.SetFault(standin.NoFault, 0)
			}
		case "drained":
			if err := t.reload(ctx, t.plain(), 1); err != nil {
				return 0, err
			}
			time.Sleep(500 * time.Millisecond) // its list
		}
		tries = append(append(tries, own...), other...)
		if of[trouble] == nil {
			of[trouble] = map[load.Outcome]int{}
		}
		for i := range other {
			of[trouble][other[i].Outcome]++
		}
		w := load.ValueShare(plan, own)
		for i := range own {
			if y := &own[i]; y.Outcome == load.Served && first[trouble] != nil {
				// An answer over 600 s is not counted; there is none, by the deadline.
				_ = first[trouble].RecordValue(max(y.First.Sub(y.Sent).Microseconds(), 1))
			}
		}
		if trouble != "" {
			worths[trouble+", the other"] = append(worths[trouble+", the other"], load.ValueShare(calib, other))
		}
		time.Sleep(time.Duration(float64(time.Second) / r.Fleet.Speed * 4)) // what is under way ends
		return w, ctx.Err()
	}
	for n, what := range []string{"", "alone", "alone", "alone"} { // caches fill; the last one counts
		delete(worths, "alone, the other")
		if _, err := play(r.Seed+uint64(n), what); err != nil {
			return err
		}
	}
	for _, h := range first {
		h.Reset()
	}
	for round := range r.rounds {
		for i, trouble := range troubles {
			seed := r.Seed + uint64(100*round+10*i+10)
			var w [2]float64
			for k := range 2 {
				n := (round + k) % 2
				what := trouble
				if n == 0 {
					what = ""
				}
				if w[n], err = play(seed, what); err != nil {
					return err
				}
			}
			ratios[trouble] = append(ratios[trouble], w[1]/w[0])
			worths[trouble] = append(worths[trouble], w[1])
			worths["idle"] = append(worths["idle"], w[0])
			r.say("pair %d of %d, the other %s: worth in time %.4f, %.4f with it idle", round+1, r.rounds, trouble, w[1], w[0])
		}
	}
	if err := t.stop(); err != nil {
		return err
	}
	wrong, examples := bad(tries)
	misled := 0
	for _, a := range t.asked {
		if want := map[string]string{runsHost: "runs-", calibHost: "calib-"}[a.host]; want == "" || a.box[:len(want)] != want {
			misled++
		}
	}
	res := r.result
	res.Add("tries", float64(len(tries)), "", fmt.Sprint(examples))
	res.Mean("the other's worth in time alone, at the rate that is tripled", worths["alone, the other"], "", "")
	res.Mean("worth in time, the other idle", worths["idle"], "", "share of all that was asked")
	for _, trouble := range append([]string{""}, troubles...) {
		h, name := first[trouble], trouble
		if name == "" {
			name = "idle"
		}
		res.Add("until the first event, the other "+name, float64(h.ValueAtQuantile(50))/1e3, "ms",
			fmt.Sprintf("median; 99 of 100 within %.0f ms", float64(h.ValueAtQuantile(99))/1e3))
	}
	chart := report.Chart{File: "worth.svg", Title: "Worth in time against that with the other service idle", X: "pair", Y: "ratio"}
	for _, trouble := range troubles {
		res.Mean("worth in time, the other "+trouble, worths[trouble], "", "")
		res.Mean("the other's own worth in time, "+trouble, worths[trouble+", the other"], "", outcomes(of[trouble]))
		ratio := res.Ratio("ratio of pairs, the other "+trouble, ratios[trouble], "geometric mean")
		res.Bars = append(res.Bars, report.NewBar("worth in time with the other "+trouble, ratio, "", r.Bars["worth"], math.MaxFloat64, ""))
		s := report.Series{Name: trouble}
		for i, v := range ratios[trouble] {
			s.Points = append(s.Points, report.Point{X: float64(i + 1), Y: v})
		}
		chart.Series = append(chart.Series, s)
	}
	res.Bars = append(res.Bars,
		report.NewBar("lost, doubled or invented answers", float64(wrong), "", 0, 0, fmt.Sprintf("of %d tries", len(tries))),
		report.NewBar("requests at a box of the other service", float64(misled), "", 0, 0, fmt.Sprintf("of %d", len(t.asked))))
	res.Charts = append(res.Charts, chart)
	return nil
}

func outcomes(n map[load.Outcome]int) string {
	s := "tries:"
	for _, o := range slices.Sorted(maps.Keys(n)) {
		s += fmt.Sprintf(" %d %s", n[o], o)
	}
	return s
}

// reloads has the router read its file again and again under load, each time with other routes, weights or pools.
func reloads(ctx context.Context, r *run) error {
	t, err := r.start(ctx, false, func(t *two) string { return t.plain() })
	if err != nil {
		return err
	}
	defer func() { _ = t.stop() }() // the first error counts
	pool := func(name, more string) string { return fmt.Sprintf("[[pool]]\nname = %q\n%s", name, more) }
	some := `select = {names = ["runs-[0-3]"]}` + "\n"
	files := []struct {
		text    string
		swapped bool // runs is served by calib's boxes, and the other way round
	}{
		{t.plain(), false},
		{t.file(service("runs", runsHost, `pool = "calib"`)+service("calib", calibHost, `pool = "runs"`), t.poolRuns()+t.poolCalib()), true},
		{t.file(service("runs", runsHost, `split = [{pool = "runs", weight = 90.0}, {pool = "some", weight = 10.0}]`)+
			service("calib", calibHost, `pool = "calib"`), t.poolRuns()+t.poolCalib()+pool("some", some)), false},
		{t.file(service("runs", runsHost, `split = [{pool = "runs", weight = 50.0}, {pool = "some", weight = 50.0}]`)+
			service("calib", calibHost, `pool = "calib"`), t.poolRuns()+t.poolCalib()+pool("some", some+"[pool.limits]\nguarantee = 0.2\n")), false},
		{t.file(service("runs", runsHost, `pool = "renamed"`)+service("calib", calibHost, `pool = "calib"`),
			pool("renamed", "was = \"runs\"\n")+t.poolCalib()), false},
		{t.file(service("runs", runsHost, `pool = "runs"`)+service("calib", calibHost, `pool = "calib"`),
			pool("runs", "was = \"renamed\"\n")+t.poolCalib()), false},
	}
	type change struct {
		from, to time.Time
		swapped  bool
	}
	var changes []change
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	length := time.Duration(r.rounds) * time.Duration(float64(r.length)/float64(r.rounds))
	var both sync.WaitGroup
	ledgers := make([][]load.Attempt, 2)
	for i, host := range []string{runsHost, calibHost} {
		both.Go(func() {
			plan := r.calls(r.Seed+uint64(i), []float64{r.Traffic.Rate, r.Services.Rate * 0.6}[i], length, 0)
			ledgers[i] = r.ask(ctx, t, host, plan, r.Seed+uint64(i))
		})
	}
	began := time.Now()
	pace := length / time.Duration(r.rounds)
	var memory []report.Point
	for n := range r.rounds {
		f := files[n%len(files)]
		c := change{from: time.Now(), swapped: f.swapped}
		if err := t.reload(ctx, f.text, 1+n%10/9); err != nil { // every tenth comes twice at once
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
			r.say("%d reloads of %d; %.1f MB", n+1, r.rounds, memory[n].Y)
		}
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * pace)))
	}
	both.Wait()
	if err := t.stop(); err != nil {
		return err
	}
	var tries []load.Attempt
	at := map[string][]asked{}
	for _, a := range t.asked {
		at[a.id] = append(at[a.id], a)
	}
	var misled, checked, near int
	for i, ledger := range ledgers {
		tries = append(tries, ledger...)
		for k := range ledger {
			y := &ledger[k]
			// Its route was looked up between its first byte and a little after its last.
			first, last := y.Due, y.Sent.Add(20*time.Millisecond)
			swapped, sure := false, true
			for _, c := range changes {
				if !c.to.Before(first) && !c.from.After(last) {
					sure = false
				}
				if c.to.Before(first) {
					swapped = c.swapped
				}
			}
			if !sure {
				near++
				continue
			}
			want := "runs-"
			if (i == 1) != swapped {
				want = "calib-"
			}
			for _, a := range at[y.CallID] {
				checked++
				if a.box[:len(want)] != want {
					misled++
				}
			}
		}
	}
	wrong, examples := bad(tries)
	res := r.result
	res.Add("reloads", float64(r.rounds), "", "with another file each time; every tenth signal doubled")
	res.Add("tries", float64(len(tries)), "", fmt.Sprint(examples))
	res.Add("legs held against the routes of their arrival", float64(checked), "", fmt.Sprintf("%d tries came too near to a reload to tell", near))
	var took []float64
	for _, c := range changes {
		took = append(took, float64(c.to.Sub(c.from))/1e6)
	}
	res.Mean("from the signal until the new plan is seen", took, "ms", "")
	tenth := max(len(memory)/10, 1)
	mean := func(p []report.Point) (m float64) {
		for _, x := range p {
			m += x.Y / float64(len(p))
		}
		return m
	}
	grown := mean(memory[len(memory)-tenth:]) - mean(memory[tenth:2*tenth])
	res.Bars = append(res.Bars,
		report.NewBar("lost, doubled or invented answers", float64(wrong), "", 0, 0, fmt.Sprintf("of %d tries", len(tries))),
		report.NewBar("legs to a pool that the route did not name", float64(misled), "", 0, 0, fmt.Sprintf("of %d", checked)),
		report.NewBar("memory grown from the second tenth to the last", grown, "MB", -math.MaxFloat64, r.Bars["memory_mb"], ""))
	res.Charts = append(res.Charts, report.Chart{
		File: "memory.svg", Title: "Resident memory over reloads", X: "reloads", Y: "MB",
		Series: []report.Series{{Name: "router", Points: memory}},
	})
	return nil
}

// shared has boxes in two pools drained and restarted cold under load, one after the other; the second pool's discovery
// learns of everything later. The boxes' own record is the judge.
func shared(ctx context.Context, r *run) error {
	const behind = 2 * time.Second
	t, err := r.start(ctx, true, func(t *two) string { return t.plain() })
	if err != nil {
		return err
	}
	defer func() { _ = t.stop() }() // the first error counts
	t.calib.Delay = behind
	var both sync.WaitGroup
	plans := make([][]load.Request, 2)
	ledgers := make([][]load.Attempt, 2)
	for i, host := range []string{runsHost, calibHost} {
		plans[i] = r.calls(r.Seed+uint64(i), []float64{r.Traffic.Rate, r.Services.Rate}[i], r.length, i)
		both.Go(func() { ledgers[i] = r.ask(ctx, t, host, plans[i], r.Seed+uint64(i)) })
	}
	type life struct {
		name          string
		born, drained time.Time
		died          time.Time
	}
	var lives []life
	const watched = 6 * time.Second // the router's modules begin to watch within 5 s of their start
	pace := (r.length - watched) / time.Duration(r.Fleet.Boxes)
	var failed error
	both.Go(func() {
		began := time.Now().Add(watched)
		for n, b := range t.Boxes {
			time.Sleep(time.Until(began.Add(time.Duration(n) * pace)))
			l := life{name: b.Name, drained: time.Now()}
			b.Drain()
			time.Sleep(min(1500*time.Millisecond, pace/3))
			b.Kill()
			l.died = time.Now()
			b.Deregister()
			b.Rename(b.Name + "-r")
			lives = append(lives, l, life{name: b.Name, born: time.Now()})
			if err := b.Start(b.Addr(), true); err != nil {
				failed = err
				return
			}
		}
	})
	both.Wait()
	if failed != nil {
		return failed
	}
	if err := t.stop(); err != nil {
		return err
	}
	var arrivals [2][]time.Time
	var tries []load.Attempt
	for i := range ledgers {
		tries = append(tries, ledgers[i]...)
		for k := range ledgers[i] {
			arrivals[i] = append(arrivals[i], ledgers[i][k].Sent)
		}
		slices.SortFunc(arrivals[i], time.Time.Compare)
	}
	between := func(of []time.Time, from, to time.Time) int {
		a, _ := slices.BinarySearchFunc(of, from, time.Time.Compare)
		z, _ := slices.BinarySearchFunc(of, to, time.Time.Compare)
		return z - a
	}
	byBox, byPool := map[string][]time.Time{}, map[string]map[string]int{}
	for _, a := range t.asked {
		byBox[a.box] = append(byBox[a.box], a.at)
		if byPool[a.box] == nil {
			byPool[a.box] = map[string]int{}
		}
		byPool[a.box][a.host]++
	}
	params := r.options(nil, nil).Params
	var late, cold, over, windows int
	var latest, fullest float64
	for _, l := range lives {
		at := byBox[l.name]
		slices.SortFunc(at, time.Time.Compare)
		if !l.drained.IsZero() {
			for _, when := range at {
				if d := when.Sub(l.drained); d > 0 && when.Before(l.died) {
					latest = max(latest, float64(d)/1e6)
					if float64(d)/1e6 > r.Bars["drain_ms"] {
						late++
					}
				}
			}
			continue
		}
		for _, width := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
			for from := l.born; from.Before(l.born.Add(params.WarmUp)); from = from.Add(width / 5) {
				to := from.Add(width)
				share := params.ColdShare + (1-params.ColdShare)*min(float64(to.Sub(l.born))/float64(params.WarmUp), 1)
				// The share of what came, over the boxes that share it, and the one request that may be saved up. A request
				// is on its way for a while, so that one that came just before the window may fall into it.
				allowed := 1.0
				for i := range arrivals {
					allowed += share * float64(between(arrivals[i], from.Add(-50*time.Millisecond), to)) / float64(r.Fleet.Boxes-1)
				}
				got := between(at, from, to)
				windows++
				fullest = max(fullest, float64(got)/allowed)
				if float64(got) > math.Ceil(allowed) {
					over++
				}
			}
		}
		cold += between(at, l.born, l.born.Add(params.WarmUp))
	}
	wrong, examples := bad(tries)
	res := r.result
	res.Add("tries", float64(len(tries)), "", fmt.Sprint(examples))
	res.Add("boxes drained and restarted cold", float64(len(lives)/2), "", fmt.Sprintf("the second pool's discovery tells of it %v later", behind))
	res.Add("requests to boxes while cold", float64(cold), "", fmt.Sprintf("in %d windows of 0.5, 1 and 2 s", windows))
	res.Add("fullest window against what is allowed", fullest, "", "")
	res.Add("latest request to a draining box", latest, "ms", "after its drain was told")
	for i, name := range []string{"first", "second"} {
		res.Add("worth in time of the "+name+" pool", load.ValueShare(plans[i], ledgers[i]), "", "")
	}
	fromBoth := 0
	for _, n := range byPool {
		if n[runsHost] > 0 && n[calibHost] > 0 {
			fromBoth++
		}
	}
	res.Add("boxes asked by both pools", float64(fromBoth), "", fmt.Sprintf("of %d", len(byPool)))
	res.Bars = append(res.Bars,
		report.NewBar("windows in which a cold box got more than is allowed", float64(over), "", 0, 0, fmt.Sprintf("of %d", windows)),
		report.NewBar("requests to a draining box after its grace", float64(late), "", 0, 0, fmt.Sprintf("later than %v ms", r.Bars["drain_ms"])),
		report.NewBar("lost, doubled or invented answers", float64(wrong), "", 0, 0, fmt.Sprintf("of %d tries", len(tries))))
	return nil
}
