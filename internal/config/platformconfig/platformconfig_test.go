package platformconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// getenvOf returns a getenv function over pairs of a name and a value.
func getenvOf(pairs ...string) func(string) string {
	m := map[string]string{}
	for i := 0; i < len(pairs); i += 2 {
		m[pairs[i]] = pairs[i+1]
	}
	return func(name string) string { return m[name] }
}

func TestLoadReadsFileAndOverrides(t *testing.T) {
	c, err := Load(getenvOf("BALANCER_CONFIG", "testdata/config.json", "BALANCER_LISTEN", "127.0.0.7:5000"))
	if err != nil {
		t.Fatal(err)
	}
	got := []any{
		c.RouterName, c.ListenAddr, c.DiscoveryAddr, c.Seed, c.InitialEndpoints.Seq, len(c.InitialEndpoints.Hosts), c.ZoneNames, c.LoadReportColumns, c.LoadReportsInResponses,
		len(c.Settings.Classes), c.Limits.ConnectTimeout, c.Limits.UpstreamIdleTimeout, c.Limits.MaxAttempts,
	}
	want := []any{
		"n1", "127.0.0.7:5000", "127.0.0.1:8500", uint64(0x8c1f30d27a5be964), uint64(41), 1,
		[]string{"room"},
		[]string{"x1", "concurrent"},
		false, 3, 100 * time.Millisecond, 4 * time.Second, 4,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestReloadTakesDiscoveryAddressFromTheFile(t *testing.T) {
	// The variable keeps its value from process start, so it may be older than the file.
	vars := getenvOf("BALANCER_CONFIG", "testdata/config.json", "BALANCER_DISCOVERY", "127.0.0.9:1", "BALANCER_LISTEN", "127.0.0.7:5000")
	for name, want := range map[string]string{"start": "127.0.0.9:1", "again": "127.0.0.1:8500"} {
		c, err := map[string]func(func(string) string) (*Config, error){"start": Load, "again": Reload}[name](vars)
		if err != nil || c.DiscoveryAddr != want || c.ListenAddr != "127.0.0.7:5000" {
			t.Errorf("%s: %+v, %v", name, c, err)
		}
	}
}

func TestAdminListenerReservesDescriptors(t *testing.T) {
	without, err := Load(getenvOf("BALANCER_CONFIG", "testdata/config.json"))
	if err != nil {
		t.Fatal(err)
	}
	with, err := Load(getenvOf("BALANCER_CONFIG", "testdata/config.json", "BALANCER_ADMIN", "127.0.0.1:9"))
	if err != nil || with.AdminAddr != "127.0.0.1:9" || with.Limits.ClientConns >= without.Limits.ClientConns {
		t.Errorf("%+v, %v", with, err)
	}
	// During a hot restart two processes share the file descriptors of one router.
	l := with.Limits
	if each := l.TakeoverCapacity(); 2*(each.ClientConns+each.UpstreamConns+l.RejectConns+24+17) > 1024 {
		t.Errorf("each of two processes has %+v, together more than 1024 descriptors", each)
	}
}

func TestLimitsFitTheMachine(t *testing.T) {
	c, err := Load(getenvOf("BALANCER_CONFIG", "testdata/config.json"))
	if err != nil {
		t.Fatal(err)
	}
	l := c.Limits
	if conns := l.ClientConns + l.RejectConns + l.UpstreamConns; conns > 1024-16 || l.ConcurrentRequests > l.UpstreamConns {
		t.Errorf("%d connections of 1024 descriptors, %d requests in flight for %d upstream connections", conns, l.ConcurrentRequests, l.UpstreamConns)
	}
	if l.HeapBytes+l.TotalBodyBytes > 192<<20 {
		t.Errorf("%d bytes of heap and %d bytes of bodies exceed 192 MiB", l.HeapBytes, l.TotalBodyBytes)
	}
}

func TestInvalidConfigIsRejected(t *testing.T) {
	text, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for change, want := range map[string]string{
		`{"name"=>{"name`:                                  "invalid character",
		`"seed": "8c=>"seed": "zz`:                         "seed:",
		`"listen": "127.0.0.1:5000"=>"listen": "here"`:     "listen:",
		`"discovery": "127.0.0.1:8500"=>"discovery": ""`:   "discovery:",
		`"discovery"=>"admin": "127.0.0.1", "discovery"`:   "admin:",
		`"discovery"=>"admin": "127.0.0.1:0", "discovery"`: "admin:",
		`"discovery"=>"admin": ":x", "discovery"`:          "admin:",
		`"cores": 1.0=>"cores": 0`:                         "limits:",
		`"memory_mb": 192=>"memory_mb": -1`:                "limits:",
		`"effect": "pure"=>"effect": "odd"`:                "effect",
		`"mostTries": 4=>"mostTries": 0`:                   "MaxAttempts",
		`"health": "Ready"=>"health": "Odd"`:               "known:",
		`"idleClose": 5000000=>"idleClose": 0`:             "idleClose",
		`"discovery": "subscribe"=>"discovery": "guesses"`: "discovery",
	} {
		from, to, _ := strings.Cut(change, "=>")
		bad := strings.Replace(string(text), from, to, 1)
		if bad == string(text) {
			t.Fatalf("%q is not in the file", from)
		}
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(getenvOf("BALANCER_CONFIG", path)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", change, err)
		}
	}
	for _, path := range []string{"", "testdata/none.json"} {
		if _, err := Load(getenvOf("BALANCER_CONFIG", path)); err == nil {
			t.Errorf("%q: no error", path)
		}
	}
}

func TestBatchFileIsChecked(t *testing.T) {
	c, err := Load(getenvOf("BALANCER_CONFIG", "testdata/config.json"))
	if err != nil {
		t.Fatal(err)
	}
	if b, err := c.LoadBatchFile("../../../deploy/batch.toml", func(name string) string { return "key of " + name }); err != nil {
		t.Errorf("deploy/batch.toml: %v", err)
	} else if l := c.Limits.WithBatch(b.MaxOpenFiles()); l.ClientConns+l.UpstreamConns+l.BatchConns+b.MaxOpenFiles() >
		c.Limits.ClientConns+c.Limits.UpstreamConns || l.ConcurrentRequests > l.UpstreamConns {
		t.Errorf("no file descriptors are reserved for the batch service: %+v", l)
	}
	const contract = "\n[[contract]]\nteam='crews'\nkey_env='K'\nclasses=['batch-summary']\nlines=9\nat_once=2\n" +
		"budget_tokens=99\nbudget_period='24h'\nline_deadline='1m'\n"
	head := "listen='127.0.0.1:5080'\nspool='s'\n"
	for name, f := range map[string]struct{ text, want string }{
		"good":          {head + contract, ""},
		"no contract":   {head, "one contract"},
		"not loopback":  {strings.Replace(head, "127.0.0.1", "0.0.0.0", 1) + contract, "loopback"},
		"unknown key":   {head + "speed=3\n" + contract, "not a key"},
		"unknown class": {head + strings.Replace(contract, "batch-summary", "x", 1), "unknown to the settings"},
		"no key":        {head + strings.Replace(contract, "'K'", "'L'", 1), "holds no key"},
		"two teams":     {head + contract + contract, "another's"},
		"bad team":      {head + strings.Replace(contract, "crews", "../x", 1), "team must be"},
		"bad period":    {head + strings.Replace(contract, "24h", "soon", 1), "soon"},
		"nothing":       {head + strings.Replace(contract, "at_once=2", "at_once=0", 1), "above 0"},
		"no openapi":    {head + contract + "openapi='none.yaml'\n", "none.yaml"},
	} {
		path := filepath.Join(t.TempDir(), "batch.toml")
		if err := os.WriteFile(path, []byte(f.text), 0o600); err != nil {
			t.Fatal(err)
		}
		b, err := c.LoadBatchFile(path, getenvOf("K", "secret"))
		if f.want == "" && (err != nil || b.Spool != filepath.Join(filepath.Dir(path), "s")) {
			t.Errorf("%s: %+v, %v", name, b, err)
		}
		if f.want != "" && (err == nil || !strings.Contains(err.Error(), f.want)) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
