package plane

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

var small = Size{Keepers: 5, Routers: 9, Engines: 8, Tolerate: 2}

func TestQuietDay(t *testing.T) {
	d := &Day{Seed: 3, Keepers: 5, Routers: 9, Engines: 8, Tolerate: 2, Length: 20 * time.Second, Troubles: []Trouble{
		{At: 2 * time.Second, Kind: Change}, {At: 6 * time.Second, Kind: Race}, {At: 8 * time.Second, Kind: Leave, On: []int{1, 2}},
	}}
	r := d.Play("")
	if len(r.Found) > 0 || r.Changes != 4 || r.Acked != 3 || r.Drained != 2 || r.Slowest > 200*time.Millisecond || r.Slowest == 0 {
		t.Errorf("%+v", r)
	}
	if diff := cmp.Diff(r, d.Play("")); diff != "" {
		t.Errorf("played again it is another day:\n%s", diff)
	}
}

// TestDaysOfTrouble: none breaks a rule.
func TestDaysOfTrouble(t *testing.T) {
	acked := 0
	for seed := range uint64(40) {
		d := Draw(seed, small)
		r := d.Play("")
		acked += r.Acked
		if len(r.Found) > 0 {
			t.Errorf("seed %d: %+v", seed, r.Found)
		}
	}
	if acked < 60 {
		t.Errorf("only %d configurations were acknowledged", acked)
	}
}

// TestKeptDays plays what Hunt and Shrink have left of days that broke a rule once:
//
//	flapped.toml: word that an engine goes on, come before the sign of life itself, kept a keeper from taking that, and it
//	held the engine for silent once with each call, for good
func TestKeptDays(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		d, err := Load(f)
		if err != nil {
			t.Fatal(err)
		}
		if r := d.Play(""); len(r.Found) > 0 {
			t.Errorf("%s: %+v", f, r.Found)
		}
	}
}

func TestDaysAsFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "day.toml")
	write := func(b []byte) {
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want := Draw(5, small)
	b, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	write(b)
	got, err := Load(path)
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" || err != nil {
		t.Errorf("%v\n%s", err, diff)
	}
	write([]byte("keepers = 2\nrouters = 1\ntolerate = 1\nlength = \"2x\"\n[[trouble]]\nat = \"1s\"\nkind = \"rain\"\non = [9]\n"))
	_, err = Load(path)
	for _, says := range []string{"length:", "tolerate:", "trouble[0].kind", "trouble[0].on"} {
		if err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%q is not said: %v", says, err)
		}
	}
	write([]byte("seeds = 3\n"))
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), "seeds") {
		t.Errorf("an unknown field: %v", err)
	}
}

// TestShrinkLeavesWhatItTakes: a day that breaks a rule by one of its troubles is left with few.
func TestShrinkLeavesWhatItTakes(t *testing.T) {
	const broken, rule = "acknowledges a drain alone", "DRAIN"
	for seed := range uint64(50) {
		d := Draw(seed, small)
		if !slices.ContainsFunc(d.Play(broken).Found, func(f Found) bool { return f.Rule == rule }) {
			continue
		}
		if s := d.Shrink(broken, rule); len(s.Troubles) != 1 || s.Troubles[0].Kind != Leave || len(s.Troubles[0].On) != 1 {
			t.Errorf("%d troubles of %d are left: %+v", len(s.Troubles), len(d.Troubles), s.Troubles)
		}
		return
	}
	t.Error("no day breaks it")
}

// TestBrokenRulesAreFoundOut: each oracle fires on a fault that is put in on purpose, within a few days, and shrinking leaves
// few troubles.
func TestBrokenRulesAreFoundOut(t *testing.T) {
	for broken, rule := range map[string]string{
		"forgets its votes":                   "LOST",
		"answers before the disk has it":      "LOST",
		"acknowledges what it has only heard": "CONFIG",
		"acknowledges a drain alone":          "DRAIN",
		"judges out of touch":                 "SILENT",
	} {
		t.Run(broken, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(300) {
				d := Draw(seed, small)
				for _, f := range d.Play(broken).Found {
					if rule == "" || f.Rule == rule {
						t.Logf("seed %d: %s: %s", seed, f.Rule, f.Says)
						return
					}
				}
			}
			t.Error("not found out in 300 days")
		})
	}
}
