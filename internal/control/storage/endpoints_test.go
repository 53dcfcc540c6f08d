package storage

import (
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/testutil/golden"
)

// TestEndpointRecordsAreRecovered checks that the records of endpoints are recovered as they were after each write, from a copy of the
// database as a crash leaves it, and that snapshots of the log neither remove them nor contain them.
func TestEndpointRecordsAreRecovered(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir, Identity{ID: 7})
	draining := endpoints.Record{ID: "i-1", Service: "s", Addr: "10.0.0.1:80", Zone: "z", State: endpoints.StateDraining, CallCount: 9}
	gone := draining
	gone.State, gone.CallCount, gone.WarmAtMS = endpoints.StateGone, 1<<60, 1_700_000_000_000
	other := endpoints.Record{ID: "i-2", State: endpoints.StateGone, CallCount: 1 << 60}
	for i, step := range []struct {
		changes EndpointChanges
		want    []endpoints.Record
	}{
		{EndpointChanges{Put: []endpoints.Record{draining}}, []endpoints.Record{draining}},
		{EndpointChanges{Put: []endpoints.Record{other, gone}}, []endpoints.Record{gone, other}},
		{EndpointChanges{Delete: []string{"i-2", "i-unknown"}}, []endpoints.Record{gone}},
		{EndpointChanges{Put: []endpoints.Record{other}, Delete: []string{"i-1"}}, []endpoints.Record{other}},
	} {
		if err := s.UpdateEndpoints(step.changes); err != nil {
			t.Fatal(err)
		}
		writeLog(t, s, func(int, replog.State, paxos.AcceptorState) {})
		crashed := t.TempDir()
		copyDir(t, filepath.Join(dir, folder), filepath.Join(crashed, folder))
		c, recovered, err := Open(crashed, Identity{ID: 99})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(step.want, recovered.Endpoints); diff != "" {
			t.Errorf("after write %d (-want +got):\n%s", i, diff)
		}
		closeStore(t, c)
	}
	golden.Check(t, "endpoint-record.hex", append(endpointKey("i-1"), gone.Encode()...))
}
