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

// run runs the command with a settings file of a node, and returns its exit code and combined output.
func run(t *testing.T, settings string, args ...string) (int, string) {
	t.Helper()
	cmd := command(validConfig, args...)
	cmd.Env = append(cmd.Env, nodeconfig.EnvVar+"="+settings)
	out, err := cmd.CombinedOutput()
	if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
		return exit.ExitCode(), string(out)
	} else if err != nil {
		t.Fatal(err)
	}
	return 0, string(out)
}

func TestStateCommands(t *testing.T) {
	dir, empty := t.TempDir(), t.TempDir()
	store, _, err := storage.Open(dir, storage.Identity{ID: 7, IsFounder: true})
	if err != nil {
		t.Fatal(err)
	}
	state := &replog.State{}
	state.Apply(replog.Entry{Payload: replog.MembersChange{Members: []replog.Member{{ID: 7, Name: "a", Addr: "10.0.0.1:1"}}}}.Encode())
	if err := errors.Join(store.SaveSnapshot(state), store.Close()); err != nil {
		t.Fatal(err)
	}
	backup, restored := filepath.Join(empty, "backup"), filepath.Join(empty, "next")
	for _, c := range []struct {
		args   []string
		code   int
		output string
	}{
		{[]string{"state", "show", "--data", dir}, 0, `"member": "0000000000000007"`},
		{[]string{"state", "check", "--data", dir}, 0, "1 members: valid"},
		{[]string{"state", "check", "--data", empty}, 1, "no such file"},
		{[]string{"state", "export", "--data", dir, "--file", backup}, 0, ""},
		{[]string{"state", "export", "--data", dir, "--file", backup}, 1, "exists"},
		{[]string{"state", "import", "--data", restored, "--file", backup, "--name", "b", "--addr", "here"}, 2, "--addr"},
		{[]string{"state", "import", "--data", restored, "--file", "main.go", "--name", "b", "--addr", "10.0.0.2:1"}, 2, "not a valid backup"},
		{[]string{"state", "import", "--data", restored, "--file", backup, "--name", "b", "--addr", "10.0.0.2:1"}, 0, "only voter"},
		{[]string{"state", "import", "--data", restored, "--file", backup, "--name", "b", "--addr", "10.0.0.2:1"}, 1, "already holds a state"},
		{[]string{"state", "show", "--data", restored}, 0, `"Name": "b"`},
	} {
		if code, out := run(t, "", c.args...); code != c.code || !strings.Contains(out, c.output) {
			t.Errorf("%s: exit code %d, want %d; output:\n%s", c.args, code, c.code, out)
		}
	}
	if info, err := os.Stat(backup); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode of the backup, which contains API keys: %v, %v; want 0600", info.Mode(), err)
	}
}

func TestNodeReportsEverySettingsError(t *testing.T) {
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
		t.Errorf("without settings: exit code %d\n%s", code, out)
	}
}

func TestFleetAndConfigCommands(t *testing.T) {
	encoded, err := cbor.Marshal(map[string]any{
		"revision": 3, "services": []any{map[string]any{"name": "s"}}, "tenants": []any{map[string]any{"name": "k", "api_keys": []any{"secret"}}},
		"routes": []any{map[string]any{"name": "r", "hostname": "h", "path_prefix": "/", "route_type": "idempotent", "timeout_ms": 5, "target_service": "s"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/fleet/status":
			io.WriteString(w, `{"node":"edge-1","ready":"yes","revision":3}`)
		case "/Configuration.Describe":
			if _, err := w.Write(encoded); err != nil {
				t.Error(err)
			}
		}
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	valid, invalid := filepath.Join(t.TempDir(), "good"), filepath.Join(t.TempDir(), "bad")
	if err := errors.Join(os.WriteFile(valid, encoded, 0o600), os.WriteFile(invalid, bytes.Replace(encoded, []byte("idempotent"), []byte("idempotant"), 1), 0o600)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args   []string
		code   int
		output string
	}{
		{[]string{"fleet", "status", "--control", addr}, 0, "edge-1"},
		{[]string{"fleet", "status", "--control", addr, "--output", "json"}, 0, `"ready": "yes"`},
		{[]string{"fleet", "status", "--control", addr + ",127.0.0.1:1"}, 1, "no status from 1 of 2 processes"},
		{[]string{"config", "check", valid}, 0, "revision 3, 1 routes"},
		{[]string{"config", "check", invalid}, 2, "route_type"},
		{[]string{"config", "describe", "--control", addr}, 0, "(1 keys)"},
	} {
		code, out := run(t, "", c.args...)
		if code != c.code || !strings.Contains(out, c.output) || strings.Contains(out, "secret") {
			t.Errorf("%s: exit code %d, want %d; output:\n%s", c.args, code, c.code, out)
		}
	}
}

// fakeFleet accepts configurations like a fleet, without replication.
type fakeFleet struct {
	api.Handler
	mu       sync.Mutex
	revision uint64
	text     []byte // the current configuration; nil = none
	failures int    // the number of further submissions that fail with status 503
	race     bool   // another configuration is accepted before the next submission
	requests int    // number of submissions received
}

func (f *fakeFleet) RedirectTarget() string { return "" }

func (f *fakeFleet) ReplaceConfig(_ context.Context, base uint64, text []byte) api.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	if f.failures > 0 {
		f.failures--
		return api.Result{Status: 503, Message: "no majority of the voters answers"}
	}
	if f.race {
		f.revision, f.race = f.revision+5, false
	}
	c, _, err := fleetconfig.DecodeWithDigest(text)
	if err == nil {
		err = c.Validate()
	}
	switch {
	case err != nil:
		return api.Result{Status: 400, Message: err.Error()}
	case base != f.revision:
		return api.Result{Status: 412, Message: fmt.Sprintf("version %d is current, not %d", f.revision, base)}
	}
	f.revision, f.text = c.Revision, text
	return api.Result{Status: 200, Revision: c.Revision}
}

// prepare sets the outcome of the next submissions, and returns the number of submissions received.
func (f *fakeFleet) prepare(failures int, race bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures, f.race = failures, race
	return f.requests
}

func (f *fakeFleet) DescribeConfig(context.Context) api.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.text == nil {
		return api.Result{Status: 404, Message: "there is no configuration yet"}
	}
	c, _, _ := fleetconfig.DecodeWithDigest(f.text)
	c.Revision = f.revision
	b, _ := configfile.Encode(c)
	return api.Result{Status: 200, Revision: f.revision, Body: b}
}

func (f *fakeFleet) ConfigHistory(context.Context) api.Result {
	return api.Result{Status: 200, Body: []byte(`[{"revision":1,"digest":"ab"}]`)}
}

func (f *fakeFleet) Engines() any {
	return []node.EngineView{{ID: "i-1", Service: "s", Zone: "z", Address: "10.0.0.1:80", Slots: 13, State: "ready", SinceHeartbeatS: 0.5, Explanation: "it is selected"}}
}

func (f *fakeFleet) Explain(r *http.Request) any {
	return map[string]string{"route": r.RequestURI + " on " + r.Host}
}

func (f *fakeFleet) Status() any { return map[string]string{"node": "edge-1", "ready": "yes"} }

// writeConfig writes a configuration file with one service, one route and one tenant.
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

// TestConfigIsPlannedAppliedAndRolledBack runs the commands of an operator on one file: check, plan, apply, change, apply again, and
// roll back. It also covers the commands that read the state of the fleet.
func TestConfigIsPlannedAppliedAndRolledBack(t *testing.T) {
	f := &fakeFleet{}
	server := httptest.NewServer(api.NewHandler(f))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
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
			t.Errorf("%s: exit code %d, want %d and output with %q\n%s", args, got, code, want, out)
		}
	}
	write("5000", "no/slash")
	step(2, "a.toml:6: routes[0].path_prefix", "config", "check", file)
	write("5000", "/")
	step(0, "unresolved key: file:key", "config", "check", file)
	step(2, "unresolved keys", "config", "apply", file, "--control", addr)
	if err := os.WriteFile(filepath.Join(dir, "key"), []byte("other secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	step(0, "current revision 0, planned revision 1\n+ route h.example/: r, idempotent -> s:1, 5000 ms\n+ service s: h1, 0 connections\n+ tenant lab: 2 keys, priority 0\n",
		"config", "plan", file, "--control", addr)
	step(1, "no configuration yet", "config", "describe", "--control", addr)
	f.prepare(2, false) // the submission is retried, unchanged
	step(0, "accepted revision 1, based on 0", "config", "apply", file, "--control", addr)
	step(0, "no changes", "config", "plan", file, "--control", addr)
	write("9000", "/")
	step(0, "~ route h.example/: timeout_ms 5000 -> 9000", "config", "plan", file, "--control", addr)
	step(0, `"what": "timeout_ms"`, "config", "plan", file, "--control", addr, "--output", "json")
	step(3, "the current revision is 1, not 7", "config", "apply", file, "--control", addr, "--on", "7")
	f.prepare(0, true)
	step(3, "another configuration was accepted first", "config", "apply", file, "--control", addr)
	step(0, "accepted revision 7, based on 6", "config", "apply", file, "--control", addr, "--on", "6", "--save", saved)
	step(0, "~ route h.example/: timeout_ms 5000 -> 9000", "config", "diff", saved, file)
	step(0, "accepted revision 8, based on 7", "config", "rollback", saved, "--control", addr)
	step(0, "timeout_ms = 5000", "config", "describe", "--control", addr, "--output", "toml")
	step(0, "REVISION  DIGEST\n1         ab\n", "config", "history", "--control", addr)
	step(0, `"path_prefix"`, "config", "schema")
	step(0, "SERVICE  ENGINE  ZONE  STATE  HEARD  SLOTS  ADDRESS\ns        i-1     z     ready  0.5s   13     10.0.0.1:80\n", "engines", "list", "--control", addr)
	step(0, "i-1 of s at 10.0.0.1:80 in z, last heartbeat 0.5 s ago: ready; it is selected", "engines", "explain", "i-1", "--control", addr)
	step(1, "i-2 is not known", "engines", "explain", "i-2", "--control", addr)
	step(0, `"route": "/x?y on h.example"`, "request", "explain", "http://h.example/x?y", "--control", addr, "-H", "X-Prompt-Prefix: 3, 4")
	step(2, "is not a URL of the form http://HOST/PATH", "request", "explain", "/x", "--control", addr)
	step(0, "node=edge-1 ready=yes", "fleet", "watch", "--control", addr, "--every", "10ms", "--for", "30ms")
	before := f.prepare(100, false)
	step(1, "outcome still unknown", "config", "apply", file, "--control", addr, "--wait", "0s")
	if after := f.prepare(0, false); after != before+1 {
		t.Errorf("sent %d times, want once", after-before)
	}
	if info, err := os.Stat(saved); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode of the saved configuration, which contains API keys: %v, %v; want 0600", info.Mode(), err)
	}
}

func TestExampleFileAndWrongCommandLine(t *testing.T) {
	if code, out := run(t, "", "config", "check", "../../deploy/fleet.example.toml"); code != 0 || !strings.Contains(out, "env:ANALYSIS_KEY") {
		t.Errorf("the example file: exit code %d\n%s", code, out)
	}
	if code, out := run(t, "", "config", "chekc"); code != 80 {
		t.Errorf("a wrong command line: exit code %d\n%s", code, out)
	}
}

func TestCompletion(t *testing.T) {
	for typed, want := range map[string]string{"notchhinge eng": "engines", "notchhinge config ro": "rollback", "notchhinge fleet status --con": "--control"} {
		cmd := command(validConfig)
		cmd.Env = append(cmd.Env, "COMP_LINE="+typed)
		out, err := cmd.Output()
		if err != nil || strings.TrimSpace(string(out)) != want {
			t.Errorf("completion of %q: %q, %v", typed, out, err)
		}
	}
	if code, out := run(t, "", "version"); code != 0 || !strings.Contains(out, "notchhinge") {
		t.Errorf("without COMP_LINE: exit code %d\n%s", code, out)
	}
}
