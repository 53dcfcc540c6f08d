package check

import (
	"testing"
	"time"

	"notchhinge/internal/lab/plane"
)

// TestLeasesWhileMembersAreReplaced: two lease holders never act at the same time, and none acts after its successor has, while
// members are replaced and the holder and some of them are partitioned from the others. Each broken rule is detected.
func TestLeasesWhileMembersAreReplaced(t *testing.T) {
	if violation, seed := randomLeases(40, ""); violation != "" {
		t.Errorf("seed %d: %s", seed, violation)
	}
	for _, rule := range brokenLeases {
		violation, seed := randomLeases(2000, rule)
		if violation == "" {
			t.Errorf("%s: not detected with %d seeds", rule, seed)
		}
		t.Logf("%s: seed %d: %s", rule, seed, violation)
	}
}

// TestFleetSurvivesPartitionsOf20Seconds runs whole fleets: one or two of five replicas and a router are partitioned from the
// others for 20 s, in one direction or both, while processes on both sides restart, engines leave and operators race. An
// injected bug that acknowledges changes without a majority is detected.
func TestFleetSurvivesPartitionsOf20Seconds(t *testing.T) {
	const sec = time.Second
	detected := 0
	sides := [][]int{{0, 6}, {1, 2, 7}}
	for k, kind := range []plane.FaultKind{plane.Isolate, plane.DropOutbound, plane.DropInbound, plane.PartitionReplicas} {
		on := sides[k%2]
		d := plane.Scenario{Seed: uint64(k), Replicas: 5, Routers: 5, Engines: 8, Tolerate: 2, Length: 32 * sec, Faults: []plane.Fault{
			{At: 2 * sec, Kind: plane.ChangeConfig},
			{At: 3 * sec, For: 20 * sec, Kind: kind, On: on},
			{At: 5 * sec, Kind: plane.RaceChanges},
			{At: 7 * sec, For: 2 * sec, Kind: plane.Kill, On: on},
			{At: 9 * sec, Kind: plane.DrainEngine, On: []int{k}},
			{At: 12 * sec, Kind: plane.RaceChanges},
			{At: 13 * sec, For: 3 * sec, Kind: plane.Kill, On: []int{8, 9}},
			{At: 18 * sec, For: sec, Kind: plane.Kill, On: on},
			{At: 22 * sec, Kind: plane.RaceChanges},
			{At: 28 * sec, Kind: plane.RaceChanges},
		}}
		r := d.Run("")
		if len(r.Violations) > 0 || r.Acked < 5 { // one before the partition, and one of each race
			t.Errorf("%v of %v: %d changes acknowledged, violations %+v", kind, on, r.Acked, r.Violations)
		}
		if k < 2 && len(d.Run("acknowledges before commit").Violations) > 0 {
			detected++
		}
	}
	if detected < 2 {
		t.Errorf("changes acknowledged without a majority are detected in %d of 2 runs", detected)
	}
}
