package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"notchhinge/internal/config/operatorconfig"
	"notchhinge/internal/config/platformconfig"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/reconcile"
)

// fakeNetwork serves engines and discovery services in memory. An engine answers after a delay, with its address.
type fakeNetwork struct {
	mu   sync.Mutex
	down map[string]bool // discovery services that do not answer
}

func (n *fakeNetwork) dial(_ context.Context, _, addr string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		br := bufio.NewReader(far)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			if strings.HasPrefix(addr, "disc-") {
				n.mu.Lock()
				down := n.down[addr]
				n.mu.Unlock()
				if down {
					return
				}
				if req.URL.Query().Get("after") != "" {
					time.Sleep(19 * time.Second)
					io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"+`{"seq":1,"whole":false      }`+"\n")
					continue
				}
				list := fmt.Sprintf(`{"seq":1,"whole":true,"hosts":[{"host":%q,"dial":"box-%s","health":"Ready","share":1}]}`, addr, addr)
				fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
				continue
			}
			time.Sleep(2 * time.Second)
			event := fmt.Sprintf("data: %s %s %s\n\n", addr, req.Host, req.URL)
			if _, err := fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(event), event); err != nil {
				return
			}
		}
	}()
	return near, nil
}

// TestServicesOfOneProcess reloads the configuration of a router with two services: after the discovery service of one was down
// from the start, with an invalid file, while a stream of a removed service is open, twice at once, and during a drain.
func TestServicesOfOneProcess(t *testing.T) {
	const two = "[[service]]\nname = \"runs\"\npool = \"runs\"\n[[service.route]]\nhost = \"runs\"\n" +
		"[[service]]\nname = \"calib\"\npool = \"calib\"\n[[service.route]]\nhost = \"calib\"\n" +
		"[[pool]]\nname = \"runs\"\ndiscovery = \"disc-runs:1\"\n[[pool]]\nname = \"calib\"\ndiscovery = \"disc-calib:1\"\n"
	before, _, _ := strings.Cut(two, "[[service]]\nname = \"calib\"")
	one := before + "[[pool]]\nname = \"renamed\"\nwas = \"runs\"\ndiscovery = \"disc-runs:1\"\n"
	one = strings.Replace(one, `pool = "runs"`, `pool = "renamed"`, 1)
	path := filepath.Join(t.TempDir(), "f")
	var log strings.Builder
	cfg := loadConfig(t)
	cfg.Limits = cfg.Limits.WithEndpointSources(2)
	loadPlan := func(running *reconcile.Plan) (*platformconfig.Config, *reconcile.Plan, error) {
		f, err := operatorconfig.Load(path, nil)
		if err != nil {
			return nil, nil, err
		}
		p, err := reconcile.NewPlan(cfg, f, running)
		return cfg, p, err
	}
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(two)
	_, plan, err := loadPlan(nil)
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		network := &fakeNetwork{down: map[string]bool{"disc-calib:1": true}}
		listener, stop, reload, done := newPipeListener(), make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan error, 1)
		r := New(cfg, plan, slog.New(slog.NewTextHandler(&log, nil)), network.dial, dispatch.UnixClock())
		go func() { done <- r.ServeOn(listener, Signals{Stop: stop, Reload: reload, LoadPlan: loadPlan}) }()
		request := func(host string) string {
			c := mustDial(listener.dial())
			defer c.Close()
			go fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: %s\r\nX-Call-Id: %d\r\nX-Call-Class: doc-lookup\r\n"+
				"X-Budget: 5000m\r\nX-Call-Info: prompt_len=1,prefix_len=1,max_out=1\r\nContent-Length: 2\r\n\r\n{}", host, time.Now().UnixNano())
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return err.Error()
			}
			text, err := io.ReadAll(resp.Body)
			if err != nil {
				return err.Error()
			}
			return fmt.Sprint(resp.StatusCode, " ", strings.TrimSpace(string(text)))
		}
		expect := func(host, want string) {
			t.Helper()
			if got := request(host); got != want {
				t.Errorf("%s: %s, want %s", host, got, want)
			}
		}
		const runs, calib = "200 data: box-disc-runs:1 runs /v1/chat/completions", "200 data: box-disc-calib:1 calib /v1/chat/completions"
		time.Sleep(time.Second)
		expect("runs", runs)
		expect("calib", "503 try again") // its pool has no engines
		network.mu.Lock()
		clear(network.down)
		network.mu.Unlock()
		time.Sleep(20 * time.Second)
		expect("calib", calib)

		write("[[service]]\nname = 7\n[trace]\nshar = 1\n")
		reload <- syscall.SIGHUP
		time.Sleep(time.Second)
		expect("calib", calib)

		open := make(chan string)
		go func() { open <- request("calib") }()
		time.Sleep(time.Second)
		write(one)
		reload <- syscall.SIGHUP
		reload <- syscall.SIGHUP
		time.Sleep(100 * time.Millisecond)
		expect("calib", "404 no_route: no route takes POST /v1/chat/completions at calib")
		if got := <-open; got != calib {
			t.Errorf("the request of the removed service: %s", got)
		}
		expect("runs", runs)
		synctest.Wait()
		if s := r.poolStates(); len(s.Pools) != 1 || s.Pools[0].Name != "renamed" || s.Pools[0].ID != 0 || s.Pools[0].Served != 2 || s.Generation != 3 {
			t.Errorf("%+v", s)
		}
		if len(r.feeds) != 1 {
			t.Errorf("%d discovery services are watched", len(r.feeds))
		}
		go func() { open <- request("runs") }()
		time.Sleep(100 * time.Millisecond)
		stop <- syscall.SIGTERM
		write(two)
		reload <- syscall.SIGHUP
		if got := <-open; got != runs {
			t.Errorf("during the drain: %s", got)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute) // until the engines end
	})
	text := log.String()
	for _, want := range []string{"key=service[0].name", "key=trace.shar", "pool ended", "added=0 ended=1 renamed=1", "answers.served=6"} {
		if !strings.Contains(text, want) {
			t.Errorf("the log does not contain %q", want)
		}
	}
	if strings.Count(text, "configuration reloaded") != 2 {
		t.Errorf("reloaded %d times", strings.Count(text, "configuration reloaded"))
	}
	if t.Failed() {
		t.Log(text)
	}
}

func TestControlSocketIsAccessibleToItsOwnerOnly(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c")
	ln, err := ListenControl(path)
	if err != nil {
		t.Fatal(err)
	}
	i, err := os.Stat(path)
	if err != nil || i.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", i.Mode(), err)
	}
	if _, err := ListenControl(path); err == nil || !strings.Contains(err.Error(), "in use by another process") {
		t.Errorf("listening on a socket in use: %v", err)
	}
	if err := ln.Close(); err != nil {
		t.Error(err)
	}
	stale, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	stale.SetUnlinkOnClose(false)
	_ = stale.Close() // as a process that was killed leaves it
	if ln, err = ListenControl(path); err != nil {
		t.Fatal(err)
	}
	ln.Close()
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ListenControl(path); err == nil {
		t.Error("a regular file was replaced")
	}
}

func TestExplain(t *testing.T) {
	f, err := operatorconfig.Parse([]byte("[[service]]\nname = \"runs\"\npool = \"p\"\n[[service.route]]\nhost = \"runs.example.org\"\n[service.route.header]\nx-team = \"a\"\n[[pool]]\nname = \"p\"\n"), "f", nil)
	if err != nil {
		t.Fatal(err)
	}
	table, errs := f.Table(func(string) (int, bool) { return 0, true })
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	x, err := Explain(table, map[string][]string{"host": {"RUNS.example.org:80"}, "path": {"/%41"}, "header": {"X-Team: a"}})
	if err != nil || x.Service != "runs" || x.Path != "/A" || len(x.Routes) != 1 || !x.Routes[0].Wins {
		t.Errorf("%+v, %v", x, err)
	}
	for _, bad := range []map[string][]string{{"host": {"a b"}}, {"host": {"a"}, "path": {"/../x"}}, {"host": {"a"}, "header": {"x"}}} {
		if _, err := Explain(table, bad); err == nil {
			t.Errorf("%v: no error", bad)
		}
	}
}
