// Package succession says whose an address is while one process of a router takes over from another: the owner serves,
// and one heir at most may make itself ready beside it. It owns two locks in a folder that both processes share. A lock
// goes with its process, however that ends, so that nothing a crash leaves behind has a meaning. What an heir says of
// itself stands in the file of its lock, and counts only while that is held.
package succession

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Role is what a process is to its address.
type Role int

// Owner serves alone or lets its heir in; Heir takes over from an owner that lives.
const (
	Owner Role = iota
	Heir
)

// ErrTaken is returned to a third process.
var ErrTaken = errors.New("the address has an owner and an heir already")

// Sight is what an owner sees of its heir.
type Sight int

// Nobody is there, one makes itself ready, one is ready and takes new connections.
const (
	Nobody Sight = iota
	Coming
	Ready
)

// What an heir says of itself.
const (
	coming = "coming"
	ready  = "ready "
)

// Place is a process's standing at an address. It is safe for concurrent use.
type Place struct {
	mu          sync.Mutex
	owner, heir *os.File // locked as far as the role goes
	state       string   // path of what is handed over
	role        Role
}

// Claim takes the standing that is free at an address: owner, else heir, else ErrTaken.
func Claim(dir, address string) (*Place, error) {
	name := filepath.Join(dir, "notchhinge-"+strings.NewReplacer(":", "_", "/", "_").Replace(address))
	p := &Place{state: name + ".state"}
	var err error
	if p.owner, err = os.OpenFile(name+".owner", os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, fmt.Errorf("succession: %w", err)
	}
	if p.heir, err = os.OpenFile(name+".heir", os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		_ = p.owner.Close() // nothing is written to it; err is what is told
		return nil, fmt.Errorf("succession: %w", err)
	}
	free, err := lock(p.owner)
	if err == nil && !free {
		p.role = Heir
		if free, err = lock(p.heir); err == nil && !free {
			err = fmt.Errorf("succession: %s: %w", address, ErrTaken)
		}
		if err == nil {
			// What an heir before it was handed must be gone before the owner is asked for more.
			if err = os.Remove(p.state); err == nil || errors.Is(err, os.ErrNotExist) {
				_, err = p.heir.WriteAt([]byte(coming), 0)
			}
		}
	}
	if err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// whole is a lock on a whole file that is the open file's, not the process's.
func whole(kind int16) *unix.Flock_t { return &unix.Flock_t{Type: kind} }

// lock tries for a lock and tells whether it was free.
func lock(f *os.File) (bool, error) {
	err := unix.FcntlFlock(f.Fd(), unix.F_OFD_SETLK, whole(unix.F_WRLCK))
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EACCES) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("succession: %w", err)
	}
	return true, nil
}

// held tells whether another holds a lock. It takes none itself, lest it be in the way of who comes just then.
func held(f *os.File) bool {
	l := whole(unix.F_WRLCK)
	return unix.FcntlFlock(f.Fd(), unix.F_OFD_GETLK, l) == nil && l.Type != unix.F_UNLCK
}

// Role tells what the process is at present.
func (p *Place) Role() Role {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.role
}

// Say has an heir say that it is ready.
func (p *Place) Say() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.role != Heir {
		return nil
	}
	if _, err := p.heir.WriteAt([]byte(ready), 0); err != nil {
		return fmt.Errorf("succession: %w", err)
	}
	return nil
}

// Look tells an owner what it sees of an heir.
func (p *Place) Look() Sight {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.role != Owner {
		return Nobody
	}
	if !held(p.heir) {
		return Nobody
	}
	b := make([]byte, len(ready))
	n, _ := p.heir.ReadAt(b, 0)
	switch string(b[:n]) {
	case ready:
		return Ready
	case coming:
		return Coming
	}
	return Nobody // it has not said anything yet
}

// HandOver leaves what an owner knows to its heir.
func (p *Place) HandOver(b []byte) error {
	part := p.state + ".part"
	if err := os.WriteFile(part, b, 0o600); err != nil {
		return fmt.Errorf("succession: %w", err)
	}
	if err := os.Rename(part, p.state); err != nil {
		return fmt.Errorf("succession: %w", err)
	}
	return nil
}

// HandedOver takes what the owner has left to this heir, if it has.
func (p *Place) HandedOver() ([]byte, bool) {
	b, err := os.ReadFile(p.state)
	if err != nil {
		return nil, false
	}
	_ = os.Remove(p.state) // the next owner writes it anew
	return b, true
}

// Succeed tries to make an heir the owner, which works once the owner is gone.
func (p *Place) Succeed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.role == Owner {
		return true
	}
	if free, err := lock(p.owner); err != nil || !free {
		return false
	}
	p.role = Owner
	_ = p.heir.Truncate(0)                                                  // what stands in it counts only while it is locked
	_ = unix.FcntlFlock(p.heir.Fd(), unix.F_OFD_SETLK, whole(unix.F_UNLCK)) // of a lock that is held
	return true
}

// Watch calls see with what an owner sees, whenever that changes, and succeeded when an heir has become the owner. It
// returns with the context.
func (p *Place) Watch(ctx context.Context, every time.Duration, see func(Sight), succeeded func()) {
	last := Nobody
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if p.Role() == Heir {
			if p.Succeed() {
				succeeded()
			}
			continue
		}
		if now := p.Look(); now != last {
			last = now
			see(now)
		}
	}
}

// Close gives the standing up.
func (p *Place) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.heir.Close()  // either way the lock goes with the file
	_ = p.owner.Close() // likewise
}
