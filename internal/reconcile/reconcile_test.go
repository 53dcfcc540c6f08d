package reconcile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/config/operatorconfig"
	"notchhinge/internal/config/platformconfig"
	"notchhinge/internal/config/tomlfile"
	"notchhinge/internal/quota"
	"notchhinge/internal/route"
)

func loadConfig(t *testing.T) *platformconfig.Config {
	t.Helper()
	c, err := platformconfig.Load(func(name string) string {
		return map[string]string{"BALANCER_CONFIG": "../config/platformconfig/testdata/config.json"}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	c.Limits = c.Limits.WithEndpointSources(2)
	return c
}

func parseFile(t *testing.T, text string) *operatorconfig.File {
	t.Helper()
	f, err := operatorconfig.Parse([]byte(text), filepath.Join(t.TempDir(), "f"), nil)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func serviceTOML(name, destination string) string {
	return fmt.Sprintf("[[service]]\nname = %q\n%s\n[[service.route]]\nhost = \"%s.example.org\"\n", name, destination, name)
}

func poolTOML(name, more string) string { return fmt.Sprintf("[[pool]]\nname = %q\n%s\n", name, more) }

func mustPlan(t *testing.T, text string, running *Plan) *Plan {
	t.Helper()
	p, err := NewPlan(loadConfig(t), parseFile(t, text), running)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func formatChanges(c Changes) string {
	list := func(pools []Pool) (s []string) {
		for _, p := range pools {
			s = append(s, fmt.Sprintf("%s=%d", p.Name, p.ID))
		}
		return s
	}
	return fmt.Sprint("added ", list(c.Added), " kept ", list(c.Kept), " source_changed ", list(c.SourceChanged), " removed ", list(c.Removed), " renamed ", c.Renamed)
}

// TestPoolsKeepTheirIDAcrossReloads applies a sequence of changes to an operator's file.
func TestPoolsKeepTheirIDAcrossReloads(t *testing.T) {
	var p *Plan
	two := serviceTOML("runs", `pool = "runs"`) + serviceTOML("calib", `pool = "calib"`)
	for i, c := range []struct{ text, want string }{
		{"", "added [=0] kept [] source_changed [] removed [] renamed map[]"},
		{"", "added [] kept [=0] source_changed [] removed [] renamed map[]"},
		{two + poolTOML("runs", "") + poolTOML("calib", ""), "added [runs=1 calib=2] kept [] source_changed [] removed [=0] renamed map[]"},
		{two + poolTOML("calib", "[pool.limits]\nguarantee = 0.5") + poolTOML("runs", ""), "added [] kept [calib=2 runs=1] source_changed [] removed [] renamed map[]"},
		{
			two + poolTOML("runs", "select = {blocks = [3]}") + poolTOML("calib", `discovery = "127.0.0.1:9"`),
			"added [] kept [runs=1 calib=2] source_changed [runs=1 calib=2] removed [] renamed map[]",
		},
		{serviceTOML("runs", `pool = "fast"`) + poolTOML("fast", `was = "runs"`), "added [] kept [fast=1] source_changed [fast=1] removed [calib=2] renamed map[runs:fast]"},
		{two + poolTOML("runs", `was = "fast"`) + poolTOML("calib", ""), "added [calib=3] kept [runs=1] source_changed [] removed [] renamed map[fast:runs]"},
		{
			two + poolTOML("runs", "[[pool.class]]\nname = \"doc-lookup\"\naim = \"1s\"") + poolTOML("calib", ""),
			"added [runs=4] kept [calib=3] source_changed [] removed [runs=1] renamed map[]",
		}, // other settings make a new pool
		{"", "added [=5] kept [] source_changed [] removed [runs=4 calib=3] renamed map[]"},
	} {
		next := mustPlan(t, c.text, p)
		if got := formatChanges(next.ChangesFrom(p)); got != c.want {
			t.Errorf("%d: %s, want %s", i, got, c.want)
		}
		p = next
	}
}

func TestOnlyOnePoolContinuesAFormerPool(t *testing.T) {
	// Two pools name the same former pool: the first continues it, the other is new.
	p := mustPlan(t, serviceTOML("a", `pool = "a"`)+poolTOML("a", ""), nil)
	next := mustPlan(t, serviceTOML("s", `split = [{pool = "b", weight = 1}, {pool = "c", weight = 1}]`)+poolTOML("b", `was = "a"`)+poolTOML("c", `was = "a"`), p)
	if got, want := formatChanges(next.ChangesFrom(p)), "added [c=1] kept [b=0] source_changed [] removed [] renamed map[a:b]"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}

func TestQuotasOfAPool(t *testing.T) {
	p := mustPlan(t, serviceTOML("s", `split = [{pool = "a", weight = 1}, {pool = "b", weight = 1}, {pool = "c", weight = 1}]`)+
		poolTOML("a", "[pool.limits]\nguarantee = 0.4\nmost = 0.5\nopen = 7\nlegs = 2\nretry_after = \"2s\"")+poolTOML("b", "")+poolTOML("c", ""), nil)
	cfg := loadConfig(t)
	var claims []quota.Claim
	for _, pool := range p.Pools {
		claims = append(claims, pool.UpstreamConnQuota)
	}
	if err := quota.Check(int64(cfg.Limits.UpstreamConns), claims); err != nil {
		t.Error(err)
	}
	a, b, conns := p.Pools[0], p.Pools[1], float64(cfg.Limits.UpstreamConns)
	got := []any{a.RequestQuota, a.UpstreamConnQuota, a.MaxAttempts, a.RetryAfter, b.UpstreamConnQuota, b.RetryAfter, b.MaxAttempts}
	want := []any{
		quota.Claim{Guarantee: 7, Max: 7},
		quota.Claim{Guarantee: int64(0.4 * conns), Max: int64(0.5*conns + 0.5)},
		2, 2 * time.Second,
		quota.Claim{Guarantee: int64(0.15 * conns), Max: int64(conns)},
		cfg.Limits.OverloadRetryAfter, 0,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestPoolOverridesItsClasses(t *testing.T) {
	p := mustPlan(t, serviceTOML("s", `pool = "a"`)+poolTOML("a", "[[pool.class]]\nname = \"doc-lookup\"\naim = \"700ms\"\nworth = 9.5"), nil)
	target := p.Directory.Table.Lookup(&route.Query{Host: "s.example.org", Path: "/x", Method: "POST"})
	if target == nil {
		t.Fatal("no route")
	}
	pool := p.Directory.PoolFor(target, 0)
	index, ok := pool.ClassIndex("doc-lookup")
	if _, other := pool.ClassIndex("shift-agent"); !ok || index != 0 || other || pool.Classes[0].TargetLatency != 700*time.Millisecond || pool.Classes[0].Value != 9.5 {
		t.Errorf("%+v", pool)
	}
}

func TestEveryErrorIsReportedWithItsLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	one := serviceTOML("s", `pool = "a"`)
	many := ""
	split := "[[service]]\nname = \"s\"\nsplit = ["
	for i := range 20 {
		many += poolTOML(fmt.Sprint("p", i), fmt.Sprintf("discovery = \"127.0.0.1:%d\"", 9000+i))
		split += fmt.Sprintf("{pool = \"p%d\", weight = 1}, ", i)
	}
	many += split + "]\n[[service.route]]\n"
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"settings": {one + poolTOML("a", fmt.Sprintf("settings = %q", bad)), []string{":8: pool[0].settings: "}},
		"every class": {
			one + poolTOML("a", "[[pool.class]]\nname = \"x\"\n[[pool.class]]\nname = \"y\""),
			[]string{`:9: pool[0].class[0].name: class "x" is not in the pool's settings`, `:11: pool[0].class[1].name: class "y"`},
		},
		"a class without a deadline": {
			one + poolTOML("a", "[[pool.class]]\nname = \"doc-lookup\"\nworth = 1.0\ndeadline = \"0s\""),
			[]string{":11: pool[0].class[0].deadline: must be greater than 0"},
		},
		"a contract's classes": {
			one + poolTOML("a", "[[pool.class]]\nname = \"doc-lookup\"") + "[[contract]]\nteam = \"t\"\nkey_env = \"K\"\nservice = \"s\"\n" +
				"classes = [\"shift-agent\"]\nlines = 1\nat_once = 1\nbudget_tokens = 1\nbudget_period = \"1h\"\nline_deadline = \"1m\"\n",
			[]string{`:14: contract[0].classes: pool "a" of service "s" has no class "shift-agent"`},
		},
		"a contract without a service or a route": {
			one + poolTOML("a", "") + "[[contract]]\nteam = \"t\"\nkey_env = \"K\"\n" +
				"classes = [\"chat\"]\nlines = 1\nat_once = 1\nbudget_tokens = 1\nbudget_period = \"1h\"\nline_deadline = \"1m\"\n",
			[]string{`:12: contract[0].classes: no route matches requests of class "chat": POST batch.notchhinge/v1/chat/completions`},
		},
		"discovery addresses": {many, []string{":1: pool[0]: 20 discovery addresses; the maximum is 10"}},
	} {
		f, err := operatorconfig.Parse([]byte(c.text), "f", nil)
		if err == nil {
			_, err = NewPlan(loadConfig(t), f, mustPlan(t, "", nil))
		}
		var errs tomlfile.Errors
		if !errors.As(err, &errs) || len(errs) != len(c.want) {
			t.Errorf("%s: %v", name, err)
			continue
		}
		for i, want := range c.want {
			if got := errs[i].Error(); !strings.HasPrefix(strings.TrimPrefix(got, "f"), want) {
				t.Errorf("%s: %s, want %s", name, got, want)
			}
		}
	}
}
