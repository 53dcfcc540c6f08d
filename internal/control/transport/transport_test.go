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

	"notchhinge/internal/control/rpc"
)

// kindFails is the kind of the calls for which echo returns an error.
const kindFails = 9

// open opens a transport that serves calls until the test ends.
func open(t *testing.T, h Handler) *Transport {
	t.Helper()
	tr, err := Open(netip.MustParseAddrPort("127.0.0.1:0"), h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tr.Close)
	go tr.ServeCalls(t.Context())
	return tr
}

// echo is a Handler that returns the kind and the body of the call.
func echo(_ context.Context, kind rpc.Kind, _ netip.Addr, body []byte) ([]byte, error) {
	if kind == kindFails {
		return nil, errors.New("not here")
	}
	return append([]byte{byte(kind)}, body...), nil
}

// idleConns returns the number of idle connections of tr to a peer.
func idleConns(t *testing.T, tr *Transport, to netip.AddrPort) int {
	t.Helper()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.idle[to])
}

func TestCallReturnsTheResponse(t *testing.T) {
	a, b := open(t, echo), open(t, echo)
	large := bytes.Repeat([]byte("configuration "), 100_000)
	for _, body := range [][]byte{nil, []byte("x"), large} {
		got, err := a.Call(t.Context(), b.Addr(), 3, body)
		if err != nil || !bytes.Equal(got, append([]byte{3}, body...)) {
			t.Errorf("call with %d bytes: %d bytes returned, %v", len(body), len(got), err)
		}
	}
	if got := idleConns(t, a, b.Addr()); got != 1 {
		t.Errorf("%d idle connections after calls in a row, want 1", got)
	}
}

func TestHandlerErrorReachesTheCaller(t *testing.T) {
	a, b := open(t, echo), open(t, echo)
	_, err := a.Call(t.Context(), b.Addr(), kindFails, nil)
	var remote *RemoteError
	if !errors.As(err, &remote) || remote.Message != "not here" || remote.Peer != b.Addr() {
		t.Errorf("got %v, want the handler's error", err)
	}
	if got := idleConns(t, a, b.Addr()); got != 1 {
		t.Errorf("%d idle connections after a rejected call, want 1", got)
	}
}

func TestCallIsRetriedWhenTheReusedConnectionWasClosed(t *testing.T) {
	a, b := open(t, echo), open(t, echo)
	if _, err := a.Call(t.Context(), b.Addr(), 1, nil); err != nil {
		t.Fatal(err)
	}
	b.mu.Lock()
	for c := range b.inbound {
		c.Close()
	}
	b.mu.Unlock()
	if _, err := a.Call(t.Context(), b.Addr(), 1, []byte("again")); err != nil {
		t.Errorf("call on a closed connection: %v", err)
	}
}

func TestCallToAnUnresponsivePeerEndsWithItsContext(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go io.Copy(io.Discard, c) // reads the call and never responds
		}
	}()
	a := open(t, echo)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	to := ln.Addr().(*net.TCPAddr).AddrPort()
	if _, err := a.Call(ctx, to, 1, nil); !errors.Is(err, ErrTimeout) {
		t.Errorf("got %v, want %v", err, ErrTimeout)
	}
	if got := idleConns(t, a, to); got != 0 {
		t.Errorf("%d idle connections after a timeout, want 0", got)
	}
}

func TestMalformedFramesAreRejected(t *testing.T) {
	frame := func(magic string, version byte, size uint32, body string) []byte {
		b := append([]byte(magic), version, 3)
		return append(binary.BigEndian.AppendUint32(b, size), body...)
	}
	for name, b := range map[string][]byte{
		"other magic": frame("xx", 1, 0, ""), "other version": frame("nh", 2, 0, ""), "too long": frame("nh", 1, MaxFrameBytes+1, ""),
		"truncated": frame("nh", 1, 9, "x"), "empty": nil,
	} {
		if _, _, err := readFrame(bytes.NewReader(b)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if err := writeFrame(io.Discard, 1, make([]byte, MaxFrameBytes+1)); !errors.Is(err, ErrFrameTooLong) {
		t.Errorf("writing a frame above the bound: got %v, want %v", err, ErrFrameTooLong)
	}
}

func TestDatagramIsDelivered(t *testing.T) {
	a, b := open(t, echo), open(t, echo)
	received := make(chan []byte, 1)
	go b.ServeDatagrams(func(datagram []byte) { received <- datagram })
	a.SendDatagram(b.Addr(), []byte("update"))
	if got := <-received; string(got) != "update" {
		t.Errorf("received %q, want update", got)
	}
}

func FuzzReadFrame(f *testing.F) {
	var b bytes.Buffer
	if err := writeFrame(&b, 3, []byte("x")); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, body, err := readFrame(bytes.NewReader(b)); err == nil && len(body) > len(b)-frameHeaderBytes {
			t.Errorf("a body of %d bytes was read from %d bytes", len(body), len(b))
		}
	})
}

// TestLeastRecentlyUsedConnectionIsEvicted: with more callers than the limit of inbound connections, calls still succeed, because
// a caller whose connection was evicted opens a new one.
func TestLeastRecentlyUsedConnectionIsEvicted(t *testing.T) {
	const maxInbound, callers = 3, 8
	b := open(t, echo)
	b.mu.Lock()
	b.maxInbound = maxInbound
	b.mu.Unlock()
	var all []*Transport
	for range callers {
		all = append(all, open(t, echo))
	}
	for repeat := range 3 {
		for i, a := range all {
			if _, err := a.Call(t.Context(), b.Addr(), 1, nil); err != nil {
				t.Errorf("call %d of caller %d: %v", repeat, i, err)
			}
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.inbound) > maxInbound {
		t.Errorf("%d inbound connections, want at most %d", len(b.inbound), maxInbound)
	}
}
