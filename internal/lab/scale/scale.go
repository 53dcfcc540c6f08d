// Package scale puts a control plane of the size that is aimed at on one machine's loopback: keepers and a few routers as
// processes of the program itself, and all other routers and engines hollow, many in this process. A hollow router is the
// program's own reducers of news (gossip, roster), its meter and its texts of configurations over the program's own wire; it
// carries no traffic. A hollow engine calls and nothing else. What is measured is what control costs each kind of process and
// how long what is new takes to be everywhere. It owns its processes and sockets, which are gone when Run returns. Lab code:
// no part of the router.
package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"notchhinge/internal/control/metrics"
	"notchhinge/internal/control/usage"
	"notchhinge/internal/lab/system"
)

// The layout: zones in turn belong to the regions; keeper k stands in zone k, so that no two of seven share a region.
const (
	Regions = 7
	beat    = 1500 * time.Millisecond
	window  = 5 * time.Second
	delay   = 10 * time.Second // of usage, as a node has it that is told nothing
	models  = 5
)

// Most is how long a run may take in all. What each part may take is bounded by it.
const Most = 8 * time.Minute

// Options say what is played.
type Options struct {
	Binary  string // notchhinge
	Dir     string // for settings, disks and logs
	Keepers int    // processes
	Real    int    // of the routers, processes
	Routers int
	Engines int
	Zones   int // engines and routers are spread over them; with more than keepers some have no keeper
	Tenants int // in the configuration, each with a key
	Routes  int
	Rate    float64       // requests a second of all routers at the peak, of tenants whose part falls with the rank to the 0.9
	Calm    time.Duration // of each part that is measured
	Changes int           // of the configuration, one after the other
	Every   time.Duration // between two of them
	Seed    uint64
	Out     io.Writer
}

// Check tells what is wrong with options.
func (o *Options) Check() error {
	switch {
	case o.Keepers < 3 || o.Keepers > 9 || o.Real < 1 || o.Real > 20 || o.Routers <= o.Real || o.Routers > 1000:
		return errors.New("3 to 9 keepers, 1 to 20 real routers and more, up to 1,000, in all are wanted")
	case o.Engines < 1 || o.Engines > 5000 || o.Tenants < 0 || o.Tenants > 100000 || o.Routes < 1 || o.Routes > 5000 || !(o.Rate >= 0):
		return errors.New("1 to 5,000 engines, up to 100,000 tenants and 1 to 5,000 routes are wanted")
	case o.Zones < 1 || o.Zones > 100:
		return errors.New("1 to 100 zones are wanted")
	case o.Calm < 2*time.Second || o.Calm > time.Minute || o.Changes < 0 || o.Changes > 20 || o.Every < time.Second || o.Every > 20*time.Second:
		return errors.New("2 to 60 s of calm, up to 20 changes and 1 to 20 s between them are wanted")
	}
	return nil
}

// Rows is what processes of a kind sent in a part, by cause: bytes a second, of a mean one.
type Rows map[string]float64

// Sum adds them up.
func (r Rows) Sum() (all float64) {
	for _, x := range r {
		all += x
	}
	return all
}

// Cost is what a kind of real process took of its machine in a part: a mean, and the one that took most.
type Cost struct {
	Core, MostCore float64 // parts of a core
	MB, MostMB     float64 // resident at the end of it
	Files          float64 // descriptors, the most
	Disk           float64 // MB on its disk, the most
}

// Part is what was measured in a span of time.
type Part struct {
	Name           string
	Seconds        float64
	Hollow, Keeper Rows
	Largest        float64 // bytes a second of the hollow router that sent most
	Zones, Regions float64 // of what a mean hollow router sent, the parts that went to another zone, and to another region
	ToKeeper       float64 // bytes a second that hollow routers exchanged with a mean keeper
	Keepers, Real  Cost
	Beats          float64 // of engines, a second, acknowledged
	Unheard        int     // not acknowledged within a second
	Slowest        time.Duration
	Lab            float64 // cores that this process took: all hollow routers, engines and the looking
}

// Change is what became of a change of the configuration.
type Change struct {
	Acked          time.Duration // after it was first sent; 0 = never
	Tries          int
	P50, P95, Last time.Duration // after it was first sent, at hollow routers
	Real           time.Duration // in force at the last real router
	Missing        int           // routers that did not have it
}

// Result is what came of a run.
type Result struct {
	Options
	Text         int // bytes of the configuration
	Known, Told  time.Duration
	Parts        []Part
	Changes      []Change
	Windows      int // of usage, that the platform was told of during the peak
	Owed         int // that were due by then
	Distinct     int // tenants in a window, a mean
	Complaint    string
	Least, Cores int // MB of memory left at the least; cores of this machine
	HollowMB     float64
	Reduced      string
}

// fleet is all that runs.
type fleet struct {
	Options
	real     []*process // keepers, then routers
	hollow   []*router
	engines  []*engine
	platform *platform
	inner    int // port between processes
	control  int // port of control
	began    time.Time
	texts    shared
	tenants  *draw
	peak     bool
	mu       sync.Mutex
	taken    map[string]uint64 // bytes that hollow routers exchanged with keepers, by cause
}

// share scales a size down to half of this machine's memory, by what a hollow router and an engine were seen to take.
func (o *Options) share() (reduced string, err error) {
	// With a configuration of 14,000 tenants; a run of the whole size was seen to have 0.9 GB in this process and up to 0.17 GB in a
	// keeper's.
	const routerMB, engineMB, realMB = 4, 0.2, 200
	total, _, err := memory()
	if err != nil {
		return "", err
	}
	need := float64(o.Routers-o.Real)*routerMB + float64(o.Engines)*engineMB + float64(o.Real+o.Keepers)*realMB
	if part := float64(total) / 2 / need; part < 1 {
		was := fmt.Sprintf("%d routers and %d engines would need %.0f MB, more than half of this machine's", o.Routers, o.Engines, need)
		o.Routers, o.Engines = max(int(float64(o.Routers)*part), o.Real+1), max(int(float64(o.Engines)*part), 1)
		return was, nil
	}
	return "", nil
}

// memory is this machine's, and what is left of it, in MB.
func memory() (total, left int, err error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 {
			n, _ := strconv.Atoi(f[1])
			switch f[0] {
			case "MemTotal:":
				total = n >> 10
			case "MemAvailable:":
				left = n >> 10
			}
		}
	}
	if total == 0 {
		return 0, 0, errors.New("/proc/meminfo has no MemTotal")
	}
	return total, left, nil
}

// Run starts everything, measures, and ends it.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, Most)
	defer cancel()
	reduced, err := o.share()
	if err != nil {
		return nil, err
	}
	f := &fleet{Options: o, began: time.Now(), tenants: newDraw(o.Tenants, 0.9), taken: map[string]uint64{}}
	r := &Result{Options: o, Reduced: reduced, Cores: runtime.NumCPU(), Least: 1 << 30}
	var wait sync.WaitGroup
	defer wait.Wait()
	defer f.stop()
	defer cancel()
	if err := f.start(ctx, &wait); err != nil {
		return nil, err
	}
	wait.Go(func() { f.watch(ctx, r) })
	return r, f.measure(ctx, r)
}

// says prints a line of what happens.
func (f *fleet) says(format string, args ...any) {
	fmt.Fprintf(f.Out, "%5.1f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// watch keeps account of the memory that is left, and ends a run that takes too much of it.
func (f *fleet) watch(ctx context.Context, r *Result) {
	for ctx.Err() == nil {
		if _, left, err := memory(); err == nil {
			f.mu.Lock()
			r.Least = min(r.Least, left)
			f.mu.Unlock()
		}
		pause(ctx, time.Second)
	}
}

// start starts platform, processes, hollow routers and engines.
func (f *fleet) start(ctx context.Context, wait *sync.WaitGroup) (err error) {
	if f.platform, err = newPlatform(); err != nil {
		return err
	}
	var ips []string
	for k := range f.Keepers {
		ips = append(ips, fmt.Sprintf("127.60.%d.1", k+1))
	}
	for i := range f.Real {
		ips = append(ips, fmt.Sprintf("127.62.%d.1", i+1))
	}
	var hollow []string
	for i := range f.Routers - f.Real {
		hollow = append(hollow, fmt.Sprintf("127.61.%d.%d", i/200, i%200+1))
	}
	var ports [4]int
	for i := range ports {
		for ports[i] == 0 || slices.Contains(ports[:i], ports[i]) {
			if ports[i], err = system.FreePort(append(slices.Clone(ips), hollow...)); err != nil {
				return err
			}
		}
	}
	f.inner, f.control = ports[0], ports[1]
	var seeds []string
	for k := range min(3, f.Keepers) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ips[k], ports[1]))
	}
	f.began = time.Now()
	for i, ip := range ips {
		p := &process{ip: ip, isReplica: i < f.Keepers, zone: i % f.Zones, control: fmt.Sprintf("%s:%d", ip, ports[1])}
		p.name = fmt.Sprintf("replica-%d", i+1)
		if !p.isReplica {
			p.name = fmt.Sprintf("real-%d", i-f.Keepers+1)
		}
		f.real = append(f.real, p)
		if err := p.start(f, ports, seeds); err != nil {
			return err
		}
	}
	at := map[netip.Addr]place{}
	for _, p := range f.real {
		at[netip.MustParseAddr(p.ip)] = place{p.zone, p.isReplica}
	}
	for i, ip := range hollow {
		at[netip.MustParseAddr(ip)] = place{(i + f.Keepers + f.Real) % f.Zones, false}
	}
	for i, ip := range hollow {
		r, err := f.newRouter(i, ip, at)
		if err != nil {
			return err
		}
		f.hollow = append(f.hollow, r)
		wait.Go(func() { r.run(ctx) })
	}
	for i := range f.Engines {
		e := &engine{
			f: f, name: fmt.Sprintf("engine-%05d", i), service: fmt.Sprint("model-", i%models), addr: fmt.Sprintf("10.%d.%d.1:8000", i/250, i%250),
			zone: zoneName(i % f.Zones), rnd: rand.New(rand.NewPCG(f.Seed, uint64(i))),
		}
		f.engines = append(f.engines, e)
		wait.Go(func() { e.run(ctx) })
	}
	return nil
}

func (f *fleet) stop() {
	for _, r := range f.hollow {
		r.net.Close()
	}
	for _, p := range f.real {
		p.stop()
	}
	if f.platform != nil {
		f.platform.web.Close()
	}
}

// measure plays the parts.
func (f *fleet) measure(ctx context.Context, r *Result) error {
	setUp, done := context.WithTimeout(ctx, 2*time.Minute)
	defer done()
	c := f.configure(setUp, 1)
	if c.Acked == 0 {
		return fmt.Errorf("no configuration was taken; logs are in %s", f.Dir)
	}
	r.Text = len(f.texts.text(1, f.Options))
	f.says("revision 1 (%d bytes, %d tenants) is acknowledged after %v and %d tries", r.Text, f.Tenants, c.Acked.Round(time.Millisecond), c.Tries)
	for setUp.Err() == nil {
		if r.Told == 0 && !slices.ContainsFunc(f.hollow, func(x *router) bool { return x.held.Load() == 0 }) {
			r.Told = time.Since(f.began)
			f.says("all %d hollow routers have it", len(f.hollow))
		}
		if r.Known == 0 && !slices.ContainsFunc(f.hollow, func(x *router) bool { return x.engines() < f.Engines }) {
			r.Known = time.Since(f.began)
			f.says("all of them know all %d engines", f.Engines)
		}
		if r.Told > 0 && r.Known > 0 {
			break
		}
		pause(setUp, 50*time.Millisecond)
	}
	if setUp.Err() != nil {
		few := slices.MinFunc(f.hollow, func(x, y *router) int { return x.engines() - y.engines() })
		return fmt.Errorf("within two minutes not all routers know all: one knows %d engines; logs are in %s", few.engines(), f.Dir)
	}
	pause(ctx, min(f.Calm, 5*time.Second)) // what the start has left behind
	if err := f.part(ctx, r, "calm", f.Calm, func() {}); err != nil {
		return err
	}
	if f.Rate > 0 {
		f.mu.Lock()
		f.peak = true
		f.mu.Unlock()
		pause(ctx, 5*time.Second)
		first := usage.WindowAt(time.Now(), window) + 1
		if err := f.part(ctx, r, "peak", f.Calm, func() {}); err != nil {
			return err
		}
		pause(ctx, 3*window) // the last window of the part is due by then
		r.Windows, r.Owed = f.platform.windows(first, usage.WindowAt(time.Now().Add(-delay-2*time.Second), window))
		r.Distinct = f.distinct()
	}
	if f.Changes > 0 {
		err := f.part(ctx, r, "changes", time.Duration(f.Changes)*f.Every, func() {
			next := time.Now()
			for i := range f.Changes {
				c := f.configure(ctx, i+2)
				r.Changes = append(r.Changes, c)
				f.says("change %d: acknowledged after %v (%d tries), at half, 95%%, all hollow routers after %v, %v, %v, in force at real ones after %v, missing at %d",
					i+1, c.Acked.Round(time.Millisecond), c.Tries, c.P50.Round(time.Millisecond), c.P95.Round(time.Millisecond),
					c.Last.Round(time.Millisecond), c.Real.Round(time.Millisecond), c.Missing)
				next = next.Add(f.Every)
				pause(ctx, time.Until(next))
			}
		})
		if err != nil {
			return err
		}
	}
	r.Complaint = f.complaint()
	return ctx.Err()
}

// counters are what processes have cost until now.
type counters struct {
	at      time.Time
	hollow  []map[string]uint64
	zones   uint64
	regions uint64
	real    []sample
	taken   uint64
	beats   int
	unheard int
	lab     float64
}

func (f *fleet) count() (c counters, err error) {
	c.at = time.Now()
	for _, r := range f.hollow {
		rows := map[string]uint64{}
		for _, x := range r.book.Rows() {
			rows[x.Cause] = x.Bytes
			c.zones += x.CrossZone
		}
		c.regions += r.regions.Load()
		c.hollow = append(c.hollow, rows)
	}
	for _, p := range f.real {
		s, err := p.sample()
		if err != nil {
			return c, fmt.Errorf("%s: %w\n%s", p.name, err, p.tail())
		}
		c.real = append(c.real, s)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.taken {
		c.taken += n
	}
	for _, e := range f.engines {
		e.mu.Lock()
		c.beats, c.unheard = c.beats+e.acked, c.unheard+e.failed
		e.mu.Unlock()
	}
	c.lab = metrics.ReadProcess().CPUSeconds
	return c, nil
}

// part measures a span of time in which something is done.
func (f *fleet) part(ctx context.Context, r *Result, name string, span time.Duration, do func()) error {
	for _, e := range f.engines {
		e.mu.Lock()
		e.slowest = 0
		e.mu.Unlock()
	}
	from, err := f.count()
	if err != nil {
		return err
	}
	do()
	pause(ctx, span-time.Since(from.at))
	to, err := f.count()
	if err != nil {
		return err
	}
	s := to.at.Sub(from.at).Seconds()
	p := Part{
		Name: name, Seconds: s, Hollow: Rows{}, Keeper: Rows{}, Beats: float64(to.beats-from.beats) / s, Unheard: to.unheard - from.unheard,
		Lab: (to.lab - from.lab) / s, ToKeeper: float64(to.taken-from.taken) / s / float64(f.Keepers),
	}
	sent := 0.0
	for i := range f.hollow {
		own := 0.0
		for cause, n := range to.hollow[i] {
			x := float64(n-from.hollow[i][cause]) / s
			p.Hollow[cause] += x / float64(len(f.hollow))
			own += x
		}
		sent += own
		p.Largest = max(p.Largest, own)
	}
	p.Zones, p.Regions = float64(to.zones-from.zones)/s/sent, float64(to.regions-from.regions)/s/sent
	for i, pr := range f.real {
		a, b := from.real[i], to.real[i]
		c, n := &p.Real, f.Real
		if pr.isReplica {
			c, n = &p.Keepers, f.Keepers
			for cause, x := range b.rows {
				p.Keeper[cause] += float64(x-a.rows[cause]) / s / float64(f.Keepers)
			}
		}
		core := (b.processor - a.processor) / s
		c.Core, c.MB = c.Core+core/float64(n), c.MB+b.mb/float64(n)
		c.MostCore, c.MostMB, c.Files, c.Disk = max(c.MostCore, core), max(c.MostMB, b.mb), max(c.Files, b.files), max(c.Disk, b.disk)
	}
	for _, e := range f.engines {
		e.mu.Lock()
		p.Slowest = max(p.Slowest, e.slowest)
		e.mu.Unlock()
	}
	r.Parts = append(r.Parts, p)
	f.says("%s: a router sends %.0f bytes/s, a keeper %.0f; a keeper takes %.3f of a core and %.0f MB, a real router %.4f and %.0f MB; %.0f beats/s, %d unheard; the lab takes %.1f cores",
		name, p.Hollow.Sum(), p.Keeper.Sum(), p.Keepers.Core, p.Keepers.MB, p.Real.Core, p.Real.MB, p.Beats, p.Unheard, p.Lab)
	return ctx.Err()
}

// distinct is how many tenants had requests in a usage window, a mean over what routers still remember.
func (f *fleet) distinct() int {
	now, n, sum := usage.WindowAt(time.Now(), window), 0, 0
	for number := now - 3; number < now; number++ {
		seen := map[string]bool{}
		for _, r := range f.hollow {
			r.drawn(number, seen)
		}
		n, sum = n+1, sum+len(seen)
	}
	return sum / n
}

// complaint is the line that keepers' logs have most often at level warning or above, and how often; "" = none.
func (f *fleet) complaint() string {
	counts := map[string]int{}
	for _, p := range f.real {
		text, _ := os.ReadFile(p.logFile)
		for line := range strings.Lines(string(text)) {
			if _, rest, ok := strings.Cut(line, `msg=`); ok && (strings.Contains(line, "level=WARN") || strings.Contains(line, "level=ERROR")) {
				if msg, _, quoted := strings.Cut(strings.TrimPrefix(rest, `"`), `"`); quoted {
					counts[msg]++
				}
			}
		}
	}
	worst := ""
	for msg, n := range counts {
		if worst == "" || n > counts[worst] || n == counts[worst] && msg < worst {
			worst = msg
		}
	}
	if worst == "" {
		return ""
	}
	return fmt.Sprintf("%s (%d times)", worst, counts[worst])
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i) }

func regionName(zone int) string { return fmt.Sprintf("region-%d", zone%Regions) }

func (p *process) dir(f *fleet) string { return filepath.Join(f.Dir, p.name) }
