package succession

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

func claim(t *testing.T, dir string) *Place {
	t.Helper()
	p, err := Claim(dir, address)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestSuccession(t *testing.T) {
	dir := t.TempDir()
	owner := claim(t, dir)
	if owner.Role() != Owner || owner.Look() != Nobody {
		t.Fatalf("role %v, sight %v", owner.Role(), owner.Look())
	}
	if err := owner.HandOver([]byte("for nobody")); err != nil {
		t.Fatal(err)
	}
	heir := claim(t, dir)
	if heir.Role() != Heir || owner.Look() != Coming {
		t.Fatalf("role %v, sight %v", heir.Role(), owner.Look())
	}
	if b, ok := heir.HandedOver(); ok {
		t.Errorf("%q was left for somebody else", b)
	}
	if _, err := Claim(dir, address); !errors.Is(err, ErrTaken) {
		t.Errorf("a third process: %v", err)
	}
	if owner.Look() != Coming || heir.Succeed() {
		t.Error("a third process has changed something")
	}
	if other, err := Claim(dir, "127.0.0.1:5001"); err != nil || other.Role() != Owner {
		t.Errorf("another address: %v", err)
	}
	if err := errors.Join(owner.HandOver([]byte("what I know")), heir.Say()); err != nil {
		t.Fatal(err)
	}
	if b, ok := heir.HandedOver(); !ok || string(b) != "what I know" {
		t.Errorf("%q, %v", b, ok)
	}
	if owner.Look() != Ready || heir.Succeed() {
		t.Error("the heir is ready, and the owner lives")
	}
	// An heir that ends gives the owner everything back, and the next one has said nothing yet.
	heir.Close()
	if owner.Look() != Nobody {
		t.Errorf("sight %v of an heir that has gone", owner.Look())
	}
	heir = claim(t, dir)
	if owner.Look() != Coming {
		t.Errorf("sight %v of an heir that has said nothing", owner.Look())
	}
	owner.Close()
	if !heir.Succeed() || heir.Role() != Owner || heir.Look() != Nobody {
		t.Errorf("role %v, sight %v once the owner has gone", heir.Role(), heir.Look())
	}
	if next := claim(t, dir); next.Role() != Heir || heir.Look() != Coming {
		t.Error("the next one is no heir")
	}
}

func TestWatch(t *testing.T) {
	dir := t.TempDir()
	owner, ctx := claim(t, dir), t.Context()
	sights, succeeded := make(chan Sight), make(chan bool)
	go owner.Watch(ctx, time.Millisecond, func(s Sight) { sights <- s }, nil)
	for _, kill := range []bool{true, false} {
		heir := claim(t, dir)
		if s := <-sights; s != Coming {
			t.Fatalf("sight %v", s)
		}
		if err := heir.Say(); err != nil {
			t.Fatal(err)
		}
		if s := <-sights; s != Ready {
			t.Fatalf("sight %v", s)
		}
		if kill {
			heir.Close()
			if s := <-sights; s != Nobody {
				t.Fatalf("sight %v", s)
			}
			continue
		}
		go heir.Watch(ctx, time.Millisecond, nil, func() { succeeded <- true })
		owner.Close()
		<-succeeded
	}
}

func TestBadFolder(t *testing.T) {
	if _, err := Claim(t.TempDir()+"/none", address); err == nil || errors.Is(err, ErrTaken) {
		t.Errorf("%v", err)
	}
}

// TestMain lets the test's program be a process that holds an address until it is killed.
func TestMain(m *testing.M) {
	if dir := os.Getenv("SUCCESSION_HOLD"); dir != "" {
		p, err := Claim(dir, address)
		fmt.Println(p != nil && p.Role() == Owner, err)
		time.Sleep(time.Minute)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestKilledProcessLeavesNothing(t *testing.T) {
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
	p := claim(t, dir)
	if p.Role() != Heir {
		t.Errorf("role %v beside another process", p.Role())
	}
	if err := c.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = c.Wait() // with "killed"
	if !p.Succeed() {
		t.Error("a killed process holds the address")
	}
}

func TestListenBesideAnother(t *testing.T) {
	first, err := Listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second, err := Listen(first.Addr().String(), true)
	if second == nil {
		t.Fatal(err)
	}
	defer second.Close()
	steered := err == nil // not every kernel can
	if ln, err := net.Listen("tcp", first.Addr().String()); err == nil {
		ln.Close()
		t.Error("a stranger shares the address")
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
		if got := dial(); steered && got != "second" || got == "" {
			t.Fatalf("a new connection reached %q", got)
		}
	}
	first.Close()
	for range 20 {
		if got := dial(); got != "second" {
			t.Fatalf("once the first has closed a connection reached %q", got)
		}
	}
}
