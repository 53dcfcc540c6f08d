package autoscale

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/control/usage"
)

// TestPlannerRepeatsATargetUntilItIsAccepted checks that each plan includes a target until the platform accepts it, and that a plan
// includes no target that equals the number of ready engines.
func TestPlannerRepeatsATargetUntilItIsAccepted(t *testing.T) {
	services := []Service{
		{Name: "quiet", Bounds: Bounds{Min: 3, Max: 9}, Ready: map[string]int{"y": 1}},
		{Name: "s", Bounds: Bounds{Min: 1, Max: 9}, Ready: map[string]int{"z": 2, "y": 1}},
	}
	loads := map[string]usage.Load{"s": {Service: "s", Running: 1000, Arrived: 10}} // 10 running, 4 per engine
	p := NewPlanner()
	if !p.IsDue(10 * sec) {
		t.Error("the first plan is not due")
	}
	want := []Target{{Service: "s", Zone: "y", Engines: 2, Running: 10}} // 2 in z are sufficient
	if diff := cmp.Diff(want, p.Plan(10*sec, services, loads)); diff != "" {
		t.Fatalf("first plan (-want +got):\n%s", diff)
	}
	if p.IsDue(10*sec+sec/2) || !p.IsDue(11*sec) {
		t.Error("plans are not due once a second")
	}
	if diff := cmp.Diff(want, p.Plan(11*sec, services, loads)); diff != "" {
		t.Errorf("plan after a target was not accepted (-want +got):\n%s", diff)
	}
	p.RecordAccepted(want[0])
	if again := p.Plan(12*sec, services, loads); len(again) > 0 {
		t.Errorf("plan after the target was accepted: %+v", again)
	}
}
