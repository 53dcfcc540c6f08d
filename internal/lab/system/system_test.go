package system

import (
	"io"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

func TestFleetSurvivesFaults(t *testing.T) {
	// Real processes are killed and frozen under load; no rule may be violated.
	dir := t.TempDir()
	binary := filepath.Join(dir, "notchhinge")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "notchhinge/cmd/notchhinge").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	report, err := Run(t.Context(), Options{
		Binary: binary, Dir: dir, Routers: 2, Engines: 4, Rate: 20, Length: 6 * time.Second, Seed: 1, InjectFaults: true, Out: io.Discard,
	})
	if err != nil {
		t.Fatal(err)
	}
	if violations := report.Violations(); len(violations) > 0 {
		t.Error(violations)
	}
	if report.Asked < 40 || report.Served+report.Late < report.Asked/2 || report.Windows == 0 || len(report.Traffic) < 5 {
		t.Errorf("too few requests, served requests, usage windows or causes of traffic: %+v", report)
	}
}
