package hotrestart

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"testing"
	"time"
)

const address = "127.0.0.1:5000"

func acquire(t *testing.T, dir string) *Claim {
	t.Helper()
	c, err := Acquire(dir, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func wantRole(t *testing.T, c *Claim, want Role) {
	t.Helper()
	if got := c.Role(); got != want {
		t.Errorf("role %v, want %v", got, want)
	}
}

func wantSuccessor(t *testing.T, owner *Claim, want SuccessorState) {
	t.Helper()
	if got := owner.Successor(); got != want {
		t.Errorf("successor state %v, want %v", got, want)
	}
}

func TestSecondProcessIsTheSuccessorAndAThirdIsRejected(t *testing.T) {
	dir := t.TempDir()
	owner := acquire(t, dir)
	wantRole(t, owner, RoleOwner)
	wantSuccessor(t, owner, SuccessorNone)
	successor := acquire(t, dir)
	wantRole(t, successor, RoleSuccessor)
	wantSuccessor(t, owner, SuccessorStarting)
	if _, err := Acquire(dir, address); !errors.Is(err, ErrAddressTaken) {
		t.Errorf("a third process: %v", err)
	}
	wantSuccessor(t, owner, SuccessorStarting)
	if successor.TryTakeOver() {
		t.Error("the successor took over from a running owner after a third process was rejected")
	}
	other, err := Acquire(dir, "127.0.0.1:5001")
	if err != nil {
		t.Fatalf("another address: %v", err)
	}
	t.Cleanup(other.Close)
	wantRole(t, other, RoleOwner)
}

func TestStateIsLeftToThePresentSuccessor(t *testing.T) {
	dir := t.TempDir()
	owner := acquire(t, dir)
	if err := owner.WriteState([]byte("for no successor")); err != nil {
		t.Fatal(err)
	}
	successor := acquire(t, dir)
	if b, ok := successor.TakeState(); ok {
		t.Errorf("state %q, written before this successor started", b)
	}
	if err := errors.Join(owner.WriteState([]byte("state of the owner")), successor.AnnounceReady()); err != nil {
		t.Fatal(err)
	}
	if b, ok := successor.TakeState(); !ok || string(b) != "state of the owner" {
		t.Errorf("state %q, %v", b, ok)
	}
	wantSuccessor(t, owner, SuccessorReady)
	if successor.TryTakeOver() {
		t.Error("the successor took over from a running owner")
	}
}

func TestSuccessorTakesOverOnceTheOwnerHasEnded(t *testing.T) {
	dir := t.TempDir()
	owner, successor := acquire(t, dir), acquire(t, dir)
	if err := successor.AnnounceReady(); err != nil {
		t.Fatal(err)
	}
	// After a successor has ended, its announcement must not count for the next successor.
	successor.Close()
	wantSuccessor(t, owner, SuccessorNone)
	successor = acquire(t, dir)
	wantSuccessor(t, owner, SuccessorStarting)
	owner.Close()
	if !successor.TryTakeOver() {
		t.Error("no takeover after the owner ended")
	}
	wantRole(t, successor, RoleOwner)
	wantSuccessor(t, successor, SuccessorNone)
	wantRole(t, acquire(t, dir), RoleSuccessor)
	wantSuccessor(t, successor, SuccessorStarting)
}

func TestWatchReportsTheSuccessorAndTheTakeover(t *testing.T) {
	dir := t.TempDir()
	owner, ctx := acquire(t, dir), t.Context()
	states, tookOver := make(chan SuccessorState), make(chan bool)
	go owner.Watch(ctx, time.Millisecond, func(s SuccessorState) { states <- s }, nil)
	for _, kill := range []bool{true, false} {
		successor := acquire(t, dir)
		if s := <-states; s != SuccessorStarting {
			t.Fatalf("successor state %v", s)
		}
		if err := successor.AnnounceReady(); err != nil {
			t.Fatal(err)
		}
		if s := <-states; s != SuccessorReady {
			t.Fatalf("successor state %v", s)
		}
		if kill {
			successor.Close()
			if s := <-states; s != SuccessorNone {
				t.Fatalf("successor state %v", s)
			}
			continue
		}
		go successor.Watch(ctx, time.Millisecond, nil, func() { tookOver <- true })
		owner.Close()
		<-tookOver
	}
}

func TestMissingDirectoryIsAnError(t *testing.T) {
	if _, err := Acquire(t.TempDir()+"/none", address); err == nil || errors.Is(err, ErrAddressTaken) {
		t.Errorf("error %v, want one of the file system", err)
	}
}

// TestMain runs the test binary as a process that holds an address until it is killed, if SUCCESSION_HOLD names a directory.
func TestMain(m *testing.M) {
	if dir := os.Getenv("SUCCESSION_HOLD"); dir != "" {
		c, err := Acquire(dir, address)
		fmt.Println(c != nil && c.Role() == RoleOwner, err)
		time.Sleep(time.Minute)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestKilledProcessReleasesItsLocks(t *testing.T) {
	dir := t.TempDir()
	c := exec.CommandContext(t.Context(), os.Args[0])
	c.Env = append(os.Environ(), "SUCCESSION_HOLD="+dir)
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	if line, _ := bufio.NewReader(out).ReadString('\n'); line != "true <nil>\n" {
		t.Fatalf("the other process: %q", line)
	}
	other := acquire(t, dir)
	if other.Role() != RoleSuccessor {
		t.Errorf("role %v beside another process", other.Role())
	}
	if err := c.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = c.Wait() // the error is "signal: killed"
	if !other.TryTakeOver() {
		t.Error("a killed process still holds the address")
	}
}

func TestListenPrefersTheSecondListener(t *testing.T) {
	first, err := Listen(t.Context(), "127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second, err := Listen(t.Context(), first.Addr().String(), true)
	if second == nil {
		t.Fatal(err)
	}
	defer second.Close()
	isPreferred := err == nil // not all kernels support it
	if ln, err := net.Listen("tcp", first.Addr().String()); err == nil {
		ln.Close()
		t.Error("a listener without SO_REUSEPORT shares the address")
	}
	accept := func(ln net.Listener, name string) {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			io.WriteString(c, name)
			c.Close()
		}
	}
	go accept(first, "first")
	go accept(second, "second")
	dial := func() string {
		var d net.Dialer
		c, err := d.DialContext(context.Background(), "tcp", first.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		b, _ := io.ReadAll(c)
		return string(b)
	}
	for range 20 {
		if got := dial(); isPreferred && got != "second" || got == "" {
			t.Fatalf("a new connection reached %q", got)
		}
	}
	first.Close()
	for range 20 {
		if got := dial(); got != "second" {
			t.Fatalf("a connection reached %q after the first listener was closed", got)
		}
	}
}
