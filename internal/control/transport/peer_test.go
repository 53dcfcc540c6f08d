package transport

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

func open(t *testing.T, h Handler) *Transport {
	t.Helper()
	n, err := Open(netip.MustParseAddrPort("127.0.0.1:0"), h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	go n.ServeCalls(t.Context())
	return n
}

func echo(_ context.Context, kind uint8, _ netip.Addr, body []byte) ([]byte, error) {
	if kind == 9 {
		return nil, errors.New("not here")
	}
	return append([]byte{kind}, body...), nil
}

func TestCalls(t *testing.T) {
	a, b := open(t, echo), open(t, echo)
	large := bytes.Repeat([]byte("configuration "), 100_000)
	for _, body := range [][]byte{nil, []byte("x"), large} {
		got, err := a.Call(t.Context(), b.Addr(), 3, body)
		if err != nil || !bytes.Equal(got, append([]byte{3}, body...)) {
			t.Errorf("%d bytes: %d bytes back, %v", len(body), len(got), err)
		}
	}
	if _, err := a.Call(t.Context(), b.Addr(), 9, nil); !errors.Is(err, ErrRemote) {
		t.Errorf("%v", err)
	}
	if len(a.idle[b.Addr()]) != 1 {
		t.Errorf("%d connections are kept", len(a.idle[b.Addr()]))
	}
}

func TestKeptConnectionThatHasEnded(t *testing.T) {
	a, b := open(t, echo), open(t, echo)
	if _, err := a.Call(t.Context(), b.Addr(), 1, nil); err != nil {
		t.Fatal(err)
	}
	b.mu.Lock()
	for c := range b.conns {
		c.Close()
	}
	b.mu.Unlock()
	if _, err := a.Call(t.Context(), b.Addr(), 1, []byte("again")); err != nil {
		t.Errorf("a call on a connection that had ended: %v", err)
	}
}

func TestSilentPeer(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go io.Copy(io.Discard, c) // it reads, and never answers
		}
	}()
	a := open(t, echo)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	to := ln.Addr().(*net.TCPAddr).AddrPort()
	if _, err := a.Call(ctx, to, 1, nil); err == nil || len(a.idle[to]) != 0 {
		t.Errorf("%v; %d kept", err, len(a.idle[to]))
	}
}

func TestBadFrames(t *testing.T) {
	frame := func(magic string, version byte, size uint32, body string) []byte {
		b := append([]byte(magic), version, 3)
		return append(binary.BigEndian.AppendUint32(b, size), body...)
	}
	for name, b := range map[string][]byte{
		"magic": frame("xx", 1, 0, ""), "version": frame("nh", 2, 0, ""), "too long": frame("nh", 1, MaxFrameBytes+1, ""),
		"cut off": frame("nh", 1, 9, "x"), "nothing": nil,
	} {
		if _, _, err := read(bytes.NewReader(b)); err == nil {
			t.Errorf("%s is taken", name)
		}
	}
	if err := write(io.Discard, 1, make([]byte, MaxFrameBytes+1)); err == nil {
		t.Error("a frame over the bound is written")
	}
}

func TestDatagrams(t *testing.T) {
	a, b := open(t, echo), open(t, echo)
	got := make(chan []byte, 1)
	go b.ServeDatagrams(func(x []byte) { got <- x })
	a.SendDatagram(b.Addr(), []byte("news"))
	if x := <-got; string(x) != "news" {
		t.Errorf("%q", x)
	}
}

func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	if err := write(&b, 3, []byte("x")); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Fuzz(func(t *testing.T, b []byte) { read(bytes.NewReader(b)) })
}

// TestMoreCallersThanConnections: with all connections taken, the one that was used longest ago makes room, and whoever had it
// calls again without noticing.
func TestMoreCallersThanConnections(t *testing.T) {
	b := open(t, echo)
	b.mu.Lock()
	b.most = 3
	b.mu.Unlock()
	var callers []*Transport
	for range 8 {
		callers = append(callers, open(t, echo))
	}
	for round := range 3 {
		for i, a := range callers {
			if _, err := a.Call(t.Context(), b.Addr(), 1, nil); err != nil {
				t.Errorf("round %d, caller %d: %v", round, i, err)
			}
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.conns) > 3 {
		t.Errorf("%d connections", len(b.conns))
	}
}
