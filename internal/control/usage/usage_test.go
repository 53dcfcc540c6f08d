package usage

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"notchhinge/internal/control/encoding"
)

const sec = time.Second

func TestWindowContainsItsTime(t *testing.T) {
	at := time.Unix(1_000_004, 999_999_999)
	if n := WindowAt(at, 5*sec); n != 200_000 || !WindowEnd(n, 5*sec).Equal(time.Unix(1_000_005, 0)) {
		t.Errorf("window %d ends at %v", n, WindowEnd(n, 5*sec))
	}
}

// TestTablesConvergeInAnyMergeOrder checks that lost, delayed and repeated reports lead to the sum of the newest ones.
func TestTablesConvergeInAnyMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := [2]Table{}
		want := map[string]uint64{}
		routers := [3]Counters{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			r := rapid.IntRange(0, 2).Draw(t, "router")
			tenant := rapid.SampledFrom([]string{"k", "l"}).Draw(t, "tenant")
			routers[r].Add(9, tenant, 1)
			want[tenant]++
			if rapid.Bool().Draw(t, "reported") {
				got := roundTrip(t, &Report{Incarnation: uint64(r + 1), Counters: routers[r]})
				tables[rapid.IntRange(0, 1).Draw(t, "to")].Record(sec, got)
			}
		}
		for r := range routers { // the last report of each reaches one table
			p := Report{Incarnation: uint64(r + 1), Counters: routers[r]}
			tables[r%2].Record(sec, &p)
		}
		for range 2 {
			if err := tables[0].Merge(tables[1].Encode(9, 10)); err != nil {
				t.Fatal(err)
			}
		}
		if diff := cmp.Diff(want, tables[0].Sum(9)); diff != "" {
			t.Fatalf("(-want +got):\n%s", diff)
		}
	})
}

// roundTrip encodes and decodes a report.
func roundTrip(t *rapid.T, p *Report) *Report {
	t.Helper()
	got, err := DecodeReport(p.Encode())
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// TestReportsCarryOnlyWhatIsNotAcknowledged checks that a router sends only counters that the replica has not acknowledged, and that
// the table is complete after an acknowledged report, although reports and responses are lost and the replica restarts.
func TestReportsCarryOnlyWhatIsNotAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		var acked ackedCounters
		tableID := uint64(1)
		all := Counters{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				table, tableID = Table{}, tableID+1
			case 1, 2:
				all.Add(uint64(rapid.IntRange(7, 9).Draw(t, "window")), rapid.SampledFrom([]string{"k", "l"}).Draw(t, "tenant"), 1)
			default:
				missing := acked.missing(&all)
				if rapid.Bool().Draw(t, "report is lost") {
					continue
				}
				table.Record(sec, roundTrip(t, &Report{Incarnation: 1, Counters: missing}))
				if rapid.Bool().Draw(t, "answer is lost") {
					continue
				}
				ack, err := DecodeAck((&Ack{TableID: tableID, Routers: uint64(table.LiveRouters(sec, sec))}).Encode())
				if err != nil || ack.Routers != 1 {
					t.Fatal(ack, err)
				}
				acked.record(ack, &missing)
				missing = acked.missing(&all) // the next report contains what a new table lacks
				table.Record(sec, &Report{Incarnation: 1, Counters: missing})
				acked.record(ack, &missing)
				for number, counts := range all.Windows {
					if diff := cmp.Diff(counts, table.Sum(number)); diff != "" {
						t.Fatalf("window %d (-want +got):\n%s", number, diff)
					}
				}
				if len(acked.missing(&all).Windows) > 0 {
					t.Fatal("acknowledged counters are sent again")
				}
			}
		}
	})
}

// TestTableIsBounded checks that a table limits its windows without calls of DropBefore, and for how long a router is live.
func TestTableIsBounded(t *testing.T) {
	var table Table
	for window := range uint64(1000) {
		c := Counters{}
		c.Add(window, "k", 1)
		table.Record(sec, &Report{Incarnation: 1, Counters: c})
	}
	if n := len(table.routers[1].counters.Windows); n != maxRouterWindows || table.Sum(999)["k"] != 1 {
		t.Errorf("%d windows are kept", n)
	}
	if table.LiveRouters(sec+time.Minute, time.Minute) != 1 || table.LiveRouters(2*time.Minute, time.Minute) != 0 {
		t.Error("LiveRouters does not count a router for exactly the given duration")
	}
}

func FuzzReport(f *testing.F) {
	p := Report{Incarnation: 1, Zone: "z", Loads: []Load{{"s", 1, 2, 3}}}
	p.Counters.Add(5, "k", 2)
	f.Add(p.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if p, err := DecodeReport(b); err == nil {
			if _, err := DecodeReport(p.Encode()); err != nil {
				t.Error(err)
			}
		}
		r := encoding.Reader{Buf: b}
		DecodeCounters(&r)
		_ = (&Table{}).Merge(b) // it must not panic
	})
}
