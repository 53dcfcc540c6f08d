package system

import (
	"io"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

func TestFleetThroughTroubles(t *testing.T) {
	// The whole of it, as a newcomer starts it, in short: real processes, killed and frozen.
	dir := t.TempDir()
	binary := filepath.Join(dir, "notchhinge")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "notchhinge/cmd/notchhinge").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	r, err := Run(t.Context(), Options{
		Binary: binary, Dir: dir, Routers: 2, Engines: 4, Rate: 20, Length: 6 * time.Second, Seed: 1, InjectFaults: true, Out: io.Discard,
	})
	if err != nil {
		t.Fatal(err)
	}
	if b := r.Violations(); len(b) > 0 {
		t.Error(b)
	}
	if r.Asked < 40 || r.Served+r.Late < r.Asked/2 || r.Windows == 0 || len(r.Traffic) < 5 {
		t.Errorf("%+v", r)
	}
}
