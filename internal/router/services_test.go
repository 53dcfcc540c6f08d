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

// served stands for boxes and discoveries in memory. A box answers after a while and says its address.
type served struct {
	mu   sync.Mutex
	down map[string]bool // discoveries that do not answer
}

func (s *served) dial(_ context.Context, _, addr string) (net.Conn, error) {
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
				s.mu.Lock()
				down := s.down[addr]
				s.mu.Unlock()
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

// TestServicesOfOneProcess: two services on one front, one of them with a discovery that is down from the start and comes
// back; one is removed while its stream is open; a bad file; two signals at once; one while the router drains.
func TestServicesOfOneProcess(t *testing.T) {
	const two = "[[service]]\nname = \"runs\"\npool = \"runs\"\n[[service.route]]\nhost = \"runs\"\n" +
		"[[service]]\nname = \"calib\"\npool = \"calib\"\n[[service.route]]\nhost = \"calib\"\n" +
		"[[pool]]\nname = \"runs\"\ndiscovery = \"disc-runs:1\"\n[[pool]]\nname = \"calib\"\ndiscovery = \"disc-calib:1\"\n"
	before, _, _ := strings.Cut(two, "[[service]]\nname = \"calib\"")
	one := before + "[[pool]]\nname = \"renamed\"\nwas = \"runs\"\ndiscovery = \"disc-runs:1\"\n"
	one = strings.Replace(one, `pool = "runs"`, `pool = "renamed"`, 1)
	path := filepath.Join(t.TempDir(), "f")
	var log strings.Builder
	cfg := load(t)
	cfg.Limits = cfg.Limits.WithEndpointSources(2)
	reread := func(running *reconcile.Plan) (*platformconfig.Config, *reconcile.Plan, error) {
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
	_, begin, err := reread(nil)
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		world := &served{down: map[string]bool{"disc-calib:1": true}}
		front, stop, hup, done := newPipeListener(), make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan error, 1)
		r := New(cfg, begin, slog.New(slog.NewTextHandler(&log, nil)), world.dial, dispatch.UnixClock())
		go func() { done <- r.ServeOn(front, Signals{Stop: stop, Reload: hup, LoadPlan: reread}) }()
		ask := func(host string) string {
			c := must(front.dial())
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
			if got := ask(host); got != want {
				t.Errorf("%s: %s, want %s", host, got, want)
			}
		}
		const runs, calib = "200 data: box-disc-runs:1 runs /v1/chat/completions", "200 data: box-disc-calib:1 calib /v1/chat/completions"
		time.Sleep(time.Second)
		expect("runs", runs)
		expect("calib", "503 try again") // its pool has no boxes
		world.mu.Lock()
		clear(world.down)
		world.mu.Unlock()
		time.Sleep(20 * time.Second)
		expect("calib", calib)

		write("[[service]]\nname = 7\n[trace]\nshar = 1\n")
		hup <- syscall.SIGHUP
		time.Sleep(time.Second)
		expect("calib", calib)

		open := make(chan string)
		go func() { open <- ask("calib") }()
		time.Sleep(time.Second)
		write(one)
		hup <- syscall.SIGHUP
		hup <- syscall.SIGHUP
		time.Sleep(100 * time.Millisecond)
		expect("calib", "404 no_route: no route takes POST /v1/chat/completions at calib")
		if got := <-open; got != calib {
			t.Errorf("the open one: %s", got)
		}
		expect("runs", runs)
		synctest.Wait()
		if s := r.pools(); len(s.Pools) != 1 || s.Pools[0].Name != "renamed" || s.Pools[0].ID != 0 || s.Pools[0].Served != 2 || s.Generation != 3 {
			t.Errorf("%+v", s)
		}
		if len(r.feeds) != 1 {
			t.Errorf("%d discoveries are watched", len(r.feeds))
		}
		go func() { open <- ask("runs") }()
		time.Sleep(100 * time.Millisecond)
		stop <- syscall.SIGTERM
		write(two)
		hup <- syscall.SIGHUP
		if got := <-open; got != runs {
			t.Errorf("during the drain: %s", got)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute) // the stand-ins'
	})
	text := log.String()
	for _, want := range []string{"key=service[0].name", "key=trace.shar", "pool ended", "added=0 ended=1 renamed=1", "answers.served=6"} {
		if !strings.Contains(text, want) {
			t.Errorf("the log lacks %q", want)
		}
	}
	if strings.Count(text, "configuration read again") != 2 {
		t.Errorf("read again %d times", strings.Count(text, "configuration read again"))
	}
	if t.Failed() {
		t.Log(text)
	}
}

func TestControlSocketIsItsOwners(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c")
	ln, err := ListenControl(path)
	if err != nil {
		t.Fatal(err)
	}
	i, err := os.Stat(path)
	if err != nil || i.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", i.Mode(), err)
	}
	if _, err := ListenControl(path); err == nil || !strings.Contains(err.Error(), "runs") {
		t.Errorf("a second router: %v", err)
	}
	if err := ln.Close(); err != nil {
		t.Error(err)
	}
	left, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	left.SetUnlinkOnClose(false)
	_ = left.Close() // as one that was killed leaves it
	if ln, err = ListenControl(path); err != nil {
		t.Fatal(err)
	}
	ln.Close()
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ListenControl(path); err == nil {
		t.Error("a file was taken for a socket")
	}
}

func TestExplain(t *testing.T) {
	f, err := operatorconfig.Parse([]byte("[[service]]\nname = \"runs\"\npool = \"p\"\n[[service.route]]\nhost = \"runs.example.org\"\n[service.route.header]\nx-team = \"a\"\n[[pool]]\nname = \"p\"\n"), "f", nil)
	if err != nil {
		t.Fatal(err)
	}
	table, faults := f.Table(func(string) (int, bool) { return 0, true })
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	x, err := Explain(table, map[string][]string{"host": {"RUNS.example.org:80"}, "path": {"/%41"}, "header": {"X-Team: a"}})
	if err != nil || x.Service != "runs" || x.Path != "/A" || len(x.Routes) != 1 || !x.Routes[0].Wins {
		t.Errorf("%+v, %v", x, err)
	}
	for _, bad := range []map[string][]string{{"host": {"a b"}}, {"host": {"a"}, "path": {"/../x"}}, {"host": {"a"}, "header": {"x"}}} {
		if _, err := Explain(table, bad); err == nil {
			t.Errorf("%v was explained", bad)
		}
	}
}
