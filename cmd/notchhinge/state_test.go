package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/config/nodeconfig"
	"notchhinge/internal/configfile"
	"notchhinge/internal/control/api"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/storage"
	"notchhinge/internal/node"
)

// run runs the command and returns its exit code and all that it printed.
func run(t *testing.T, settings string, args ...string) (int, string) {
	t.Helper()
	c := command(goodConfig, args...)
	c.Env = append(c.Env, nodeconfig.EnvVar+"="+settings)
	out, err := c.CombinedOutput()
	if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
		return exit.ExitCode(), string(out)
	} else if err != nil {
		t.Fatal(err)
	}
	return 0, string(out)
}

func TestStateCommands(t *testing.T) {
	dir, empty := t.TempDir(), t.TempDir()
	s, _, err := storage.Open(dir, storage.Identity{ID: 7, IsFounder: true})
	if err != nil {
		t.Fatal(err)
	}
	state := &replog.State{}
	state.Apply(replog.Entry{Payload: replog.MembersChange{Members: []replog.Member{{ID: 7, Name: "a", Addr: "10.0.0.1:1"}}}}.Encode())
	if err := errors.Join(s.SaveSnapshot(state), s.Close()); err != nil {
		t.Fatal(err)
	}
	file, next := filepath.Join(empty, "backup"), filepath.Join(empty, "next")
	for _, c := range []struct {
		args []string
		code int
		says string
	}{
		{[]string{"state", "show", "--data", dir}, 0, `"member": "0000000000000007"`},
		{[]string{"state", "check", "--data", dir}, 0, "1 members: whole"},
		{[]string{"state", "check", "--data", empty}, 1, "no such file"},
		{[]string{"state", "export", "--data", dir, "--file", file}, 0, ""},
		{[]string{"state", "export", "--data", dir, "--file", file}, 1, "exists"},
		{[]string{"state", "import", "--data", next, "--file", file, "--name", "b", "--addr", "here"}, 2, "--addr"},
		{[]string{"state", "import", "--data", next, "--file", "main.go", "--name", "b", "--addr", "10.0.0.2:1"}, 2, "not a valid backup"},
		{[]string{"state", "import", "--data", next, "--file", file, "--name", "b", "--addr", "10.0.0.2:1"}, 0, "only voter"},
		{[]string{"state", "import", "--data", next, "--file", file, "--name", "b", "--addr", "10.0.0.2:1"}, 1, "already holds a state"},
		{[]string{"state", "show", "--data", next}, 0, `"Name": "b"`},
	} {
		if code, out := run(t, "", c.args...); code != c.code || !strings.Contains(out, c.says) {
			t.Errorf("%s: exit code %d, %d is wanted\n%s", c.args, code, c.code, out)
		}
	}
	if i, err := os.Stat(file); err != nil || i.Mode().Perm() != 0o600 {
		t.Errorf("the backup holds keys: %v, %v", i.Mode(), err)
	}
}

func TestNodeSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.json")
	if err := os.WriteFile(path, []byte(`{"node_name":"","zone":""}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"node"}, {"node", "--check"}} {
		code, out := run(t, path, args...)
		if code != 2 || !strings.Contains(out, "node_name") || !strings.Contains(out, "zone") || strings.Count(out, path) < 5 {
			t.Errorf("%s: exit code %d\n%s", args, code, out)
		}
	}
	if code, out := run(t, "", "node"); code == 0 || !strings.Contains(out, nodeconfig.EnvVar) {
		t.Errorf("without settings: %d %s", code, out)
	}
}

func TestFleetAndConfigCommands(t *testing.T) {
	conf, err := cbor.Marshal(map[string]any{
		"revision": 3, "services": []any{map[string]any{"name": "s"}}, "tenants": []any{map[string]any{"name": "k", "api_keys": []any{"secret"}}},
		"routes": []any{map[string]any{"name": "r", "hostname": "h", "path_prefix": "/", "route_type": "idempotent", "timeout_ms": 5, "target_service": "s"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/fleet/status":
			io.WriteString(w, `{"node":"edge-1","ready":"yes","revision":3}`)
		case "/Configuration.Describe":
			if _, err := w.Write(conf); err != nil {
				t.Error(err)
			}
		}
	}))
	defer web.Close()
	at := strings.TrimPrefix(web.URL, "http://")
	good, bad := filepath.Join(t.TempDir(), "good"), filepath.Join(t.TempDir(), "bad")
	if err := errors.Join(os.WriteFile(good, conf, 0o600), os.WriteFile(bad, bytes.Replace(conf, []byte("idempotent"), []byte("idempotant"), 1), 0o600)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
		says string
	}{
		{[]string{"fleet", "status", "--control", at}, 0, "edge-1"},
		{[]string{"fleet", "status", "--control", at, "--output", "json"}, 0, `"ready": "yes"`},
		{[]string{"fleet", "status", "--control", at + ",127.0.0.1:1"}, 1, "1 of 2 do not answer"},
		{[]string{"config", "check", good}, 0, "revision 3, 1 routes"},
		{[]string{"config", "check", bad}, 2, "route_type"},
		{[]string{"config", "describe", "--control", at}, 0, "(1 keys)"},
	} {
		code, out := run(t, "", c.args...)
		if code != c.code || !strings.Contains(out, c.says) || strings.Contains(out, "secret") {
			t.Errorf("%s: exit code %d, %d is wanted\n%s", c.args, code, c.code, out)
		}
	}
}

// fakeFleet takes configurations as the fleet does, for as long as nobody else does.
type fakeFleet struct {
	api.Handler
	mu    sync.Mutex
	rev   uint64
	text  []byte
	fails int  // answers 503 so many times first
	other bool // somebody else is first, once
	asked int
}

func (f *fakeFleet) RedirectTarget() string { return "" }
func (f *fakeFleet) ReplaceConfig(_ context.Context, on uint64, text []byte) api.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	if f.fails > 0 {
		f.fails--
		return api.Result{Status: 503, Message: "no majority of the voters answers"}
	}
	if f.other {
		f.rev, f.other = f.rev+5, false
	}
	c, _, err := fleetconfig.DecodeWithDigest(text)
	if err == nil {
		err = c.Validate()
	}
	switch {
	case err != nil:
		return api.Result{Status: 400, Message: err.Error()}
	case on != f.rev:
		return api.Result{Status: 412, Message: fmt.Sprintf("version %d is current, not %d", f.rev, on)}
	}
	f.rev, f.text = c.Revision, text
	return api.Result{Status: 200, Revision: c.Revision}
}

// set says what comes next, and returns how often it was asked.
func (f *fakeFleet) set(fails int, other bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fails, f.other = fails, other
	return f.asked
}

func (f *fakeFleet) DescribeConfig(context.Context) api.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.text == nil {
		return api.Result{Status: 404, Message: "there is no configuration yet"}
	}
	c, _, _ := fleetconfig.DecodeWithDigest(f.text)
	c.Revision = f.rev
	b, _ := configfile.Encode(c)
	return api.Result{Status: 200, Revision: f.rev, Body: b}
}

func (f *fakeFleet) ConfigHistory(context.Context) api.Result {
	return api.Result{Status: 200, Body: []byte(`[{"revision":1,"digest":"ab"}]`)}
}

func (f *fakeFleet) Engines() any {
	return []node.EngineView{{ID: "i-1", Service: "s", Zone: "z", Address: "10.0.0.1:80", Slots: 13, State: "ready", HeardS: 0.5, Says: "it is selected"}}
}

func (f *fakeFleet) Explain(r *http.Request) any {
	return map[string]string{"route": r.RequestURI + " on " + r.Host}
}

func (f *fakeFleet) Status() any { return map[string]string{"node": "edge-1", "ready": "yes"} }

// writeConfig writes a file of one service, one route and one tenant.
func writeConfig(t *testing.T, file, timeout, prefix string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(`[[services]]
name = "s"
[[routes]]
name = "r"
hostname = "h.example"
path_prefix = "`+prefix+`"
route_type = "idempotent"
timeout_ms = `+timeout+`
target_service = "s"
[[tenants]]
name = "lab"
api_keys = ["secret", "file:key"]
`), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestConfigWalk is a user's: a file is checked and planned, applied, changed, applied, and rolled back.
func TestConfigWalk(t *testing.T) {
	f := &fakeFleet{}
	web := httptest.NewServer(api.NewHandler(f))
	defer web.Close()
	at := strings.TrimPrefix(web.URL, "http://")
	dir := t.TempDir()
	file, saved := filepath.Join(dir, "a.toml"), filepath.Join(dir, "before.cbor")
	write := func(timeout, prefix string) {
		t.Helper()
		writeConfig(t, file, timeout, prefix)
	}
	step := func(code int, want string, args ...string) {
		t.Helper()
		got, out := run(t, "", args...)
		if got != code || !strings.Contains(out, want) || strings.Contains(out, "secret") {
			t.Errorf("%s: exit code %d, %d is wanted, with %q\n%s", args, got, code, want, out)
		}
	}
	write("5000", "no/slash")
	step(2, "a.toml:6: routes[0].path_prefix", "config", "check", file)
	write("5000", "/")
	step(0, "not here: file:key", "config", "check", file)
	step(2, "keys are not here", "config", "apply", file, "--control", at)
	if err := os.WriteFile(filepath.Join(dir, "key"), []byte("other secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	step(0, "upon revision 0, as revision 1\n+ route h.example/: r, idempotent -> s:1, 5000 ms\n+ service s: h1, 0 connections\n+ tenant lab: 2 keys, priority 0\n",
		"config", "plan", file, "--control", at)
	step(1, "no configuration yet", "config", "describe", "--control", at)
	f.set(2, false) // it is sent again, unchanged
	step(0, "revision 1 is acknowledged, upon 0", "config", "apply", file, "--control", at)
	step(0, "nothing changes", "config", "plan", file, "--control", at)
	write("9000", "/")
	step(0, "~ route h.example/: timeout_ms 5000 -> 9000", "config", "plan", file, "--control", at)
	step(0, `"what": "timeout_ms"`, "config", "plan", file, "--control", at, "--output", "json")
	step(3, "revision 1 is in force, not 7", "config", "apply", file, "--control", at, "--on", "7")
	f.set(0, true)
	step(3, "another configuration came before", "config", "apply", file, "--control", at)
	step(0, "revision 7 is acknowledged, upon 6", "config", "apply", file, "--control", at, "--on", "6", "--save", saved)
	step(0, "~ route h.example/: timeout_ms 5000 -> 9000", "config", "diff", saved, file)
	step(0, "revision 8 is acknowledged, upon 7", "config", "rollback", saved, "--control", at)
	step(0, "timeout_ms = 5000", "config", "describe", "--control", at, "--output", "toml")
	step(0, "REVISION  DIGEST\n1         ab\n", "config", "history", "--control", at)
	step(0, `"path_prefix"`, "config", "schema")
	step(0, "SERVICE  ENGINE  ZONE  STATE  HEARD  SLOTS  ADDRESS\ns        i-1     z     ready  0.5s   13     10.0.0.1:80\n", "engines", "list", "--control", at)
	step(0, "i-1 of s at 10.0.0.1:80 in z, heard 0.5 s ago: ready; it is selected", "engines", "explain", "i-1", "--control", at)
	step(1, "i-2 is not known", "engines", "explain", "i-2", "--control", at)
	step(0, `"route": "/x?y on h.example"`, "request", "explain", "http://h.example/x?y", "--control", at, "-H", "X-Prompt-Prefix: 3, 4")
	step(2, "is no http://HOST/PATH", "request", "explain", "/x", "--control", at)
	step(0, "node=edge-1 ready=yes", "fleet", "watch", "--control", at, "--every", "10ms", "--for", "30ms")
	asked := f.set(100, false)
	step(1, "no clear answer", "config", "apply", file, "--control", at, "--wait", "0s")
	if now := f.set(0, false); now != asked+1 {
		t.Errorf("sent %d times", now-asked)
	}
	if i, err := os.Stat(saved); err != nil || i.Mode().Perm() != 0o600 {
		t.Errorf("what is saved holds keys: %v, %v", i.Mode(), err)
	}
}

func TestExample(t *testing.T) {
	if code, out := run(t, "", "config", "check", "../../deploy/fleet.example.toml"); code != 0 || !strings.Contains(out, "env:ANALYSIS_KEY") {
		t.Errorf("%d %s", code, out)
	}
	if code, out := run(t, "", "config", "chekc"); code != 80 {
		t.Errorf("a wrong command line: exit code %d\n%s", code, out)
	}
}

func TestCompletion(t *testing.T) {
	for line, want := range map[string]string{"notchhinge eng": "engines", "notchhinge config ro": "rollback", "notchhinge fleet status --con": "--control"} {
		c := command(goodConfig)
		c.Env = append(c.Env, "COMP_LINE="+line)
		out, err := c.Output()
		if err != nil || strings.TrimSpace(string(out)) != want {
			t.Errorf("%q: %q, %v", line, out, err)
		}
	}
	if code, out := run(t, "", "version"); code != 0 || !strings.Contains(out, "notchhinge") {
		t.Errorf("without a shell that asks: %d %s", code, out)
	}
}
