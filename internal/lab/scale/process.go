package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/lab/bootfile"
	"notchhinge/internal/lab/system"
)

// process is one of the program itself.
type process struct {
	name, ip, control string
	isReplica         bool
	zone              int
	cmd               *exec.Cmd
	logFile, data     string
}

// start starts it for the first time of the whole fleet.
func (p *process) start(f *fleet, ports [4]int, seeds []string) error {
	dir := p.dir(f)
	p.data = filepath.Join(dir, "data")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	zones := map[string]string{}
	for z := range f.Zones {
		zones[zoneName(z)] = regionName(z)
	}
	b := bootfile.Process{
		Name: p.name, Zone: zoneName(p.zone), Region: regionName(p.zone), Regions: zones, IP: p.ip, InternalPort: f.inner, SeedNodes: seeds,
		ControlPlane: p.control, Bootstrap: true, HeartbeatInterval: beat, Cores: 1, MemoryMB: 512, MaxOpenFiles: 4096, MachineFaults: (f.Keepers - 1) / 2,
		Bounds: map[string]any{"usage_window_s": window.Seconds()}, CloudAPI: f.platform.addr, Duties: []string{"usage_reporting"},
	}
	if p.isReplica {
		b.DataDir = p.data
	} else {
		b.Frontend, b.Readiness = fmt.Sprintf("%s:%d", p.ip, ports[2]), fmt.Sprintf("%s:%d", p.ip, ports[3])
	}
	path := filepath.Join(dir, "boot.json")
	if err := b.Write(path); err != nil {
		return err
	}
	p.logFile = filepath.Join(dir, "log")
	log, err := os.Create(p.logFile)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(f.Binary, "node") //nolint:noctx // stop ends it, after what is read of it
	p.cmd.Env = append(os.Environ(), "NOTCHHINGE_BOOT="+path)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the lab
	return p.cmd.Start()
}

// stop ends it. What it would hand over is nobody's any more.
func (p *process) stop() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill() // it may have ended
		_ = p.cmd.Wait()         // with "killed"
	}
}

// tail is the end of its log.
func (p *process) tail() string {
	text, _ := os.ReadFile(p.logFile)
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return string(bytes.Join(lines[max(len(lines)-5, 0):], []byte("\n")))
}

// sample is what it has cost until now.
type sample struct {
	rows      map[string]uint64 // bytes by cause
	processor float64           // s
	mb, files float64
	disk      float64 // MB in its folder
	place     uint64
}

func (p *process) sample() (s sample, err error) {
	st, err := p.status()
	if err != nil {
		return s, err
	}
	s.rows, s.processor, s.place = map[string]uint64{}, st.Machine.Processor, st.Place
	for _, r := range st.Account {
		s.rows[r.Cause] = r.Bytes
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return s, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			s.mb = kb / 1024
		}
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	s.files = float64(len(files))
	// What cannot be read is not counted.
	_ = filepath.WalkDir(p.data, func(_ string, d fs.DirEntry, bad error) error {
		if bad == nil {
			if info, err := d.Info(); err == nil && info.Mode().IsRegular() { // one may be gone by now
				s.disk += float64(info.Size()) / 1e6
			}
		}
		return nil
	})
	return s, err
}

type status struct {
	Place   uint64
	Account []struct {
		Cause string
		Bytes uint64
	}
	Machine struct {
		Processor float64 `json:"processor_s"`
	}
}

func (p *process) status() (st status, err error) {
	code, b, err := system.CallControlPlane("GET", "http://"+p.control+"/fleet/status", nil, nil)
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("/fleet/status answers %d", code)
	}
	if err != nil {
		return st, err
	}
	return st, json.Unmarshal(b, &st)
}

// text makes the configuration of a revision: services, routes to them and tenants with a key each. From one to the next a
// route's timeout and a tenant's rate differ.
func (s *shared) text(revision int, o Options) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.made == nil {
		s.made = map[int][]byte{}
	}
	if s.made[revision] == nil {
		s.made[revision], _ = cbor.Marshal(Configuration(revision, o.Routes, o.Tenants)) // it holds nothing that has no form
	}
	return s.made[revision]
}

// Configuration is one of so many routes and tenants.
func Configuration(revision, routes, tenants int) *fleetconfig.Config {
	rnd := rand.New(rand.NewPCG(5, 5))
	c := &fleetconfig.Config{Revision: uint64(revision)}
	for i := range models {
		c.Services = append(c.Services, fleetconfig.Service{Name: fmt.Sprint("model-", i), HealthPath: "/health", MaxConnections: 400, Protocol: "h1"})
	}
	for i := range routes {
		c.Routes = append(c.Routes, fleetconfig.Route{
			Name: fmt.Sprint("route-", i), Hostname: fmt.Sprintf("host-%d.example", i/20), PathPrefix: fmt.Sprintf("/v%d/", i),
			Type: fleetconfig.RouteStreaming, TimeoutMS: float64(60000 + revision*(1-min(i, 1))), TargetLatencyMS: 390, TargetService: fmt.Sprint("model-", i%models), MaxAttempts: 2, SessionAffinity: true,
		})
	}
	for i := range tenants {
		t := fleetconfig.Tenant{Name: tenantName(i), APIKeys: []string{fmt.Sprintf("sk-%016x%016x", rnd.Uint64(), rnd.Uint64())}, RatePerS: 50}
		if i == revision*37%tenants {
			t.RatePerS += float64(revision)
		}
		c.Tenants = append(c.Tenants, t)
	}
	return c
}

// configure is the operator: it sends a revision until there is a clear answer, and looks when it has come everywhere.
func (f *fleet) configure(ctx context.Context, revision int) (c Change) {
	text, began := f.texts.text(revision, f.Options), time.Now()
	end, done := context.WithTimeout(ctx, 30*time.Second)
	defer done()
	for end.Err() == nil && c.Acked == 0 {
		c.Tries++
		k := f.real[rand.IntN(f.Keepers)]
		code, says, err := system.CallControlPlane("POST", "http://"+k.control+"/Configuration.Replace", map[string]string{"X-Revision-Match": strconv.Itoa(revision - 1)}, cbor.RawMessage(text))
		switch {
		case err == nil && code == http.StatusOK:
			c.Acked = time.Since(began)
		case err == nil && code < 500:
			f.says("revision %d got %d: %s", revision, code, says)
			return c
		default:
			pause(end, 100*time.Millisecond)
		}
	}
	var newest uint64
	for _, p := range f.real[:f.Keepers] {
		if st, err := p.status(); err == nil {
			newest = max(newest, st.Place)
		}
	}
	if c.Acked == 0 || revision == 1 {
		return c
	}
	late, over := context.WithTimeout(ctx, 12*time.Second)
	defer over()
	there := map[*process]bool{}
	for late.Err() == nil {
		behind := slices.ContainsFunc(f.hollow, func(x *router) bool { return x.held.Load() < newest })
		for _, p := range f.real[f.Keepers:] {
			if st, err := p.status(); err != nil || st.Place < newest {
				behind = true
			} else if newer := time.Since(began); !there[p] {
				there[p], c.Real = true, newer
			}
		}
		if !behind {
			break
		}
		pause(late, 20*time.Millisecond)
	}
	var came []time.Duration
	for _, x := range f.hollow {
		if x.held.Load() < newest {
			c.Missing++
			continue
		}
		came = append(came, time.Unix(0, x.changed.Load()).Sub(began))
	}
	if slices.Sort(came); len(came) > 0 {
		c.P50, c.P95, c.Last = came[len(came)/2], came[len(came)*95/100], came[len(came)-1]
	}
	return c
}

// engine is a hollow engine: it calls where it is sent, on its own connection while that lasts, and else any process: a hollow
// router takes its call in without HTTP.
type engine struct {
	f                         *fleet
	name, service, addr, zone string
	rnd                       *rand.Rand

	mu            sync.Mutex
	acked, failed int
	slowest       time.Duration
}

func (e *engine) run(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}}
	defer client.CloseIdleConnections()
	pause(ctx, time.Duration(e.rnd.Int64N(int64(beat))))
	home := ""
	for calls := 1; ctx.Err() == nil; calls++ {
		began, next, err := time.Now(), "", error(nil)
		switch i := e.rnd.IntN(len(e.f.real) + len(e.f.hollow)); {
		case home != "":
			next, err = e.call(ctx, client, home, calls)
		case i < len(e.f.real):
			next, err = e.call(ctx, client, e.f.real[i].control, calls)
		default:
			next, err = e.f.hollow[i-len(e.f.real)].beat(ctx, &endpoints.Record{ID: e.name, Service: e.service, Addr: e.addr, Zone: e.zone, Revision: "v1", Slots: 64, CallCount: uint64(calls)}, e.f)
		}
		if ctx.Err() != nil {
			return
		}
		e.mu.Lock()
		if err == nil {
			e.acked++
			e.slowest = max(e.slowest, time.Since(began))
		} else {
			e.failed++
		}
		e.mu.Unlock()
		switch {
		case err != nil:
			home = ""
			pause(ctx, 100*time.Millisecond)
			continue
		case next != "": // it holds until a call there fails
			home = next
		}
		pause(ctx, beat-time.Since(began))
	}
}

func (e *engine) call(ctx context.Context, client *http.Client, at string, calls int) (home string, err error) {
	body, err := cbor.Marshal(map[string]any{
		"target_service": e.service, "address": e.addr, "zone": e.zone, "revision": "v1", "capacity_slots": 64,
		"status": "ready", "warmup_remaining_ms": 0, "call_count": calls,
	})
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+"/Instances.Heartbeat/"+e.name, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.New(resp.Status)
	}
	if err != nil {
		return "", err
	}
	var says map[string]string
	if cbor.Unmarshal(b, &says) == nil {
		home = says["heartbeat_url"]
	}
	if _, err := netip.ParseAddrPort(home); err != nil {
		home = ""
	}
	return home, nil
}

// platform is a stand-in that takes usage reports.
type platform struct {
	addr string
	web  *http.Server
	mu   sync.Mutex
	seen map[uint64]bool
}

func newPlatform() (*platform, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{addr: ln.Addr().String(), seen: map[uint64]bool{}}
	p.web = &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var v struct {
			Window uint64 `cbor:"window_number"`
		}
		b, err := io.ReadAll(io.LimitReader(r.Body, 8<<20))
		if err != nil || r.URL.Path != "/usage-reports" || cbor.Unmarshal(b, &v) != nil {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.seen[v.Window] = true
	})}
	go p.web.Serve(ln)
	return p, nil
}

// windows tells how many of the windows from a number up to before another were reported, and how many these are.
func (p *platform) windows(from, to uint64) (reported, due int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ; from < to; from++ {
		if due++; p.seen[from] {
			reported++
		}
	}
	return reported, due
}
