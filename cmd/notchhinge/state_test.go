package main

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/boot"
	"notchhinge/internal/control/chain"
	"notchhinge/internal/control/store"
)

// run runs the command and returns its exit code and all that it printed.
func run(t *testing.T, settings string, args ...string) (int, string) {
	t.Helper()
	c := command(goodConfig, args...)
	c.Env = append(c.Env, boot.Variable+"="+settings)
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
	s, _, err := store.Open(dir, store.Identity{ID: 7, Founder: true})
	if err != nil {
		t.Fatal(err)
	}
	state := &chain.State{}
	state.Apply((&chain.Entry{Kind: chain.Members, Members: []chain.Member{{ID: 7, Name: "a", Addr: "10.0.0.1:1"}}}).Encode())
	if err := errors.Join(s.Whole(state), s.Close()); err != nil {
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
		{[]string{"state", "import", "--data", next, "--file", "main.go", "--name", "b", "--addr", "10.0.0.2:1"}, 2, "no whole backup"},
		{[]string{"state", "import", "--data", next, "--file", file, "--name", "b", "--addr", "10.0.0.2:1"}, 0, "only member"},
		{[]string{"state", "import", "--data", next, "--file", file, "--name", "b", "--addr", "10.0.0.2:1"}, 1, "holds a state already"},
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
	if code, out := run(t, "", "node"); code == 0 || !strings.Contains(out, boot.Variable) {
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
			w.Write(conf)
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
