package scale

import (
	"io"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestPage: the tables of docs/CAPACITY.md are those that the results make.
func TestPage(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	r, err := Load(filepath.Join(root, "lab", "results"))
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(root, "docs", "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	made, err := Page(string(text), r)
	if err != nil {
		t.Fatal(err)
	}
	if made != string(text) {
		t.Error("the page differs from its results: go run ./cmd/notchlab capacity-page")
	}
	touched := strings.Replace(string(text), "| ", "| 9", 60)
	if again, err := Page(touched, r); err != nil || again == touched {
		t.Errorf("figures that were changed by hand are not found out: %v", err)
	}
	if _, err := Page(strings.Replace(string(text), "<!-- table: usage -->", "<!-- table: use -->", 1), r); err == nil {
		t.Error("a table that is not known is taken")
	}
	r.at("scale", "no such figure")
	if r.Missing() == nil {
		t.Error("a figure that no run holds is not missed")
	}
}

func TestFitPower(t *testing.T) {
	f := FitPower([]float64{30, 100, 330}, []float64{3 * 30 * 30, 3 * 100 * 100, 3 * 330 * 330})
	if math.Abs(f.Exponent-2) > 1e-9 || math.Abs(f.A-3) > 1e-6 || f.Residual > 1e-9 {
		t.Errorf("%+v", f)
	}
	if f := FitPower([]float64{1, 2, 4}, []float64{1, 3, 4}); f.Residual < 0.1 {
		t.Errorf("points off the law have no residual: %+v", f)
	}
}

// TestSmallFleet: the run itself, small, with the real program.
func TestSmallFleet(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "notchhinge")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "notchhinge/cmd/notchhinge").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	r, err := Run(t.Context(), Options{
		Binary: binary, Dir: dir, Keepers: 3, Real: 1, Routers: 8, Engines: 12, Zones: 4, Tenants: 50, Routes: 5, Rate: 0,
		Calm: 2 * time.Second, Changes: 1, Every: time.Second, Seed: 1, Out: io.Discard,
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Parts) != 2 || r.Parts[0].Hollow["digests"] == 0 || r.Parts[0].Keeper["news"] == 0 || r.Parts[0].Beats < 4 || r.Parts[0].Keepers.MB == 0 {
		t.Errorf("%+v", r.Parts)
	}
	if c := r.Changes[0]; c.Acked == 0 || c.Missing > 0 || c.Last == 0 || c.Real == 0 {
		t.Errorf("%+v", c)
	}
	for _, o := range []Options{{}, {Keepers: 3, Real: 1, Routers: 2000, Engines: 10}, {Keepers: 3, Real: 1, Routers: 10, Engines: 10, Routes: 1, Zones: 1, Calm: time.Hour}} {
		if o.Check() == nil {
			t.Errorf("%+v is taken", o)
		}
	}
}
