package hotrestart

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

// The roles.
const (
	RoleOwner     Role = iota // serves, alone or beside its successor
	RoleSuccessor             // takes over from an owner that runs
)

// ErrAddressTaken is returned to a third process.
var ErrAddressTaken = errors.New("the address has an owner and a successor already")

// SuccessorState is what an owner sees of its successor.
type SuccessorState int

// The states of a successor.
const (
	SuccessorNone     SuccessorState = iota
	SuccessorStarting                // it prepares itself
	SuccessorReady                   // it takes new connections
)

// What a successor writes into the file of its lock.
const (
	markStarting = "coming"
	markReady    = "ready "
)

// Claim is a process's claim to an address. It is safe for concurrent use.
type Claim struct {
	statePath string // of the state that an owner leaves to its successor

	mu            sync.Mutex
	ownerLock     *os.File // locked by the owner
	successorLock *os.File // locked by the successor
	role          Role
}

// Acquire claims an address: as its owner, else as its successor. If it has both, the error is ErrAddressTaken.
func Acquire(dir, address string) (*Claim, error) {
	name := filepath.Join(dir, "notchhinge-"+strings.NewReplacer(":", "_", "/", "_").Replace(address))
	c := &Claim{statePath: name + ".state"}
	var err error
	if c.ownerLock, err = os.OpenFile(name+".owner", os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, fmt.Errorf("hot restart: %w", err)
	}
	if c.successorLock, err = os.OpenFile(name+".heir", os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		_ = c.ownerLock.Close() // nothing was written to it
		return nil, fmt.Errorf("hot restart: %w", err)
	}
	if err := c.chooseRole(address); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// chooseRole takes the first lock that is free.
func (c *Claim) chooseRole(address string) error {
	free, err := tryLock(c.ownerLock)
	if err != nil || free {
		return err
	}
	c.role = RoleSuccessor
	if free, err = tryLock(c.successorLock); err != nil {
		return err
	}
	if !free {
		return fmt.Errorf("hot restart: %s: %w", address, ErrAddressTaken)
	}
	// The state that was left to an earlier successor must be gone before the owner sees this one.
	if err := os.Remove(c.statePath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	_, err = c.successorLock.WriteAt([]byte(markStarting), 0)
	return err
}

// wholeFileLock is a lock on a whole file that belongs to the open file, not to the process.
func wholeFileLock(kind int16) *unix.Flock_t { return &unix.Flock_t{Type: kind} }

// tryLock locks a file and reports whether it was free.
func tryLock(f *os.File) (bool, error) {
	err := unix.FcntlFlock(f.Fd(), unix.F_OFD_SETLK, wholeFileLock(unix.F_WRLCK))
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EACCES) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("hot restart: %w", err)
	}
	return true, nil
}

// isLocked reports whether another process has locked a file. It takes no lock itself, which could be in the way of a process
// that starts at that moment.
func isLocked(f *os.File) bool {
	l := wholeFileLock(unix.F_WRLCK)
	return unix.FcntlFlock(f.Fd(), unix.F_OFD_GETLK, l) == nil && l.Type != unix.F_UNLCK
}

// Role returns what the process is at present.
func (c *Claim) Role() Role {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.role
}

// AnnounceReady has a successor announce that it is ready. An owner announces nothing.
func (c *Claim) AnnounceReady() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.role != RoleSuccessor {
		return nil
	}
	if _, err := c.successorLock.WriteAt([]byte(markReady), 0); err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	return nil
}

// Successor returns what an owner sees of its successor.
func (c *Claim) Successor() SuccessorState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.role != RoleOwner || !isLocked(c.successorLock) {
		return SuccessorNone
	}
	b := make([]byte, len(markReady))
	n, _ := c.successorLock.ReadAt(b, 0) // io.EOF with the shorter mark
	switch string(b[:n]) {
	case markReady:
		return SuccessorReady
	case markStarting:
		return SuccessorStarting
	}
	return SuccessorNone // it has announced nothing yet
}

// WriteState leaves an owner's state to its successor, complete or not at all.
func (c *Claim) WriteState(b []byte) error {
	part := c.statePath + ".part"
	if err := os.WriteFile(part, b, 0o600); err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	if err := os.Rename(part, c.statePath); err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	return nil
}

// TakeState returns and removes the state that the owner has left to this successor; ok is false if there is none.
func (c *Claim) TakeState() (state []byte, ok bool) {
	b, err := os.ReadFile(c.statePath)
	if err != nil {
		return nil, false
	}
	_ = os.Remove(c.statePath) // the next owner writes it anew
	return b, true
}

// TryTakeOver makes a successor the owner, if the owner has ended, and reports whether the process is the owner.
func (c *Claim) TryTakeOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.role == RoleOwner {
		return true
	}
	if free, err := tryLock(c.ownerLock); err != nil || !free {
		return false
	}
	c.role = RoleOwner
	_ = c.successorLock.Truncate(0)                                                          // its content counts only while it is locked
	_ = unix.FcntlFlock(c.successorLock.Fd(), unix.F_OFD_SETLK, wholeFileLock(unix.F_UNLCK)) // of a lock that this process holds
	return true
}

// Watch calls onSuccessor with what an owner sees of its successor, whenever that changes, and onTakeOver when a successor has
// become the owner. It looks at an interval and returns when the context is done.
func (c *Claim) Watch(ctx context.Context, interval time.Duration, onSuccessor func(SuccessorState), onTakeOver func()) {
	last := SuccessorNone
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if c.Role() == RoleSuccessor {
			if c.TryTakeOver() {
				onTakeOver()
			}
			continue
		}
		if now := c.Successor(); now != last {
			last = now
			onSuccessor(now)
		}
	}
}

// Close gives the claim up. The locks are released with the files.
func (c *Claim) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.successorLock.Close()
	_ = c.ownerLock.Close()
}
