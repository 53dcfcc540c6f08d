package storage

import (
	"fmt"
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

// BenchmarkUpdateEndpoints measures a synced batch of records, as for one engine that drains and for a restart of all of them.
func BenchmarkUpdateEndpoints(b *testing.B) {
	for _, count := range []int{1, 25, 1500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s, _, err := Open(b.TempDir(), Identity{ID: 7})
			if err != nil {
				b.Fatal(err)
			}
			changes := EndpointChanges{}
			bytes := 0
			for i := range count {
				r := endpoints.Record{
					ID: fmt.Sprintf("i-%08x", i), Service: "runscribe", Addr: "10.128.100.109:8080", Zone: "hall-ashley", Revision: "v1", Slots: 13,
					State: endpoints.StateGone, CallCount: 1 << 60, WarmAtMS: 1_700_000_000_000,
				}
				changes.Put = append(changes.Put, r)
				bytes += len(endpointKey(r.ID)) + len(r.Encode())
			}
			for b.Loop() {
				if err := s.UpdateEndpoints(changes); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes), "bytes")
			if err := s.Close(); err != nil {
				b.Error(err)
			}
		})
	}
}
