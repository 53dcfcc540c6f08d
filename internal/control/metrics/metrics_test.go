package metrics

import (
	"encoding/json"
	"io"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestTrafficOfAConnectionIsCounted(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err == nil {
			io.Copy(c, c)
			c.Close()
		}
	}()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	var traffic Traffic
	c := traffic.Wrap(CauseEngines, conn, true)
	if _, err := io.WriteString(c, "twelve bytes"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 12)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	traffic.Add(CauseUsage, 100, false)
	traffic.Add(CauseUsage, 50, true)
	want := []Row{{"engines", 1, 24, 24, 1}, {"reports", 2, 150, 50, 0}}
	if diff := cmp.Diff(want, traffic.Rows()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestReadProcess(t *testing.T) {
	if p := ReadProcess(); p.CPUSeconds <= 0 || p.MemoryMB <= 0 {
		t.Errorf("CPU time and memory must be positive: %+v", p)
	}
}

// TestOutputNamesAreStable: operators' tools read the names of causes and the JSON keys.
func TestOutputNamesAreStable(t *testing.T) {
	want := []string{
		"engines", "news", "digests", "shuffles", "ballots", "states", "configurations", "reports", "leases", "platform",
		"cause 10",
	}
	var got []string
	for c := range causeCount + 1 {
		got = append(got, c.String())
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("causes (-want +got):\n%s", diff)
	}
	for _, c := range []struct {
		value any
		want  string
	}{
		{Row{"news", 1, 2, 3, 4}, `{"cause":"news","count":1,"bytes":2,"between":3,"connections":4}`},
		{Process{1.5, 2.5, 3}, `{"processor_s":1.5,"memory_most_mb":2.5,"wake_ups":3}`},
	} {
		if b, err := json.Marshal(c.value); err != nil || string(b) != c.want {
			t.Errorf("%s, %v; want %s", b, err, c.want)
		}
	}
}
