package metrics

import (
	"io"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestWhatIsSentIsCounted(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err == nil {
			io.Copy(c, c)
			c.Close()
		}
	}()
	nc, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	var b Traffic
	c := b.Wrap(CauseEngines, nc, true)
	if _, err := io.WriteString(c, "twelve bytes"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 12)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	b.Add(CauseUsage, 100, false)
	b.Add(CauseUsage, 50, true)
	want := []Row{{"engines", 1, 24, 24, 1}, {"reports", 2, 150, 50, 0}}
	if diff := cmp.Diff(want, b.Rows()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if m := ReadProcess(); m.CPUSeconds <= 0 || m.MemoryMB <= 0 {
		t.Errorf("%+v", m)
	}
	if s := Cause(200).String(); s != "cause 200" {
		t.Error(s)
	}
}
