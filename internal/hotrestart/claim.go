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

// Role is the role of a process for an address.
type Role int

// The roles of a process.
const (
	RoleOwner     Role = iota // serves the address, alone or beside its successor
	RoleSuccessor             // takes over when the running owner ends
)

// ErrAddressTaken is the error for a process that finds both an owner and a successor.
var ErrAddressTaken = errors.New("the address has an owner and a successor already")

// SuccessorState is the state of the successor as observed by the owner.
type SuccessorState int

// The states of a successor.
const (
	SuccessorNone     SuccessorState = iota
	SuccessorStarting                // not ready for connections yet
	SuccessorReady                   // accepts new connections
)

// Contents of the successor's lock file. Both have the same length, so that the later one overwrites the earlier one.
const (
	markStarting = "coming"
	markReady    = "ready "
)

// Claim is the claim of a process to an address. It is safe for concurrent use.
type Claim struct {
	statePath string // file with the state that an owner leaves to its successor

	mu            sync.Mutex
	ownerLock     *os.File // locked by the owner
	successorLock *os.File // locked by the successor
	role          Role
}

// Acquire claims an address as its owner or, if it has an owner, as the successor. If it has both, the error is ErrAddressTaken. The
// lock files are in dir.
func Acquire(dir, address string) (*Claim, error) {
	name := filepath.Join(dir, "notchhinge-"+strings.NewReplacer(":", "_", "/", "_").Replace(address))
	c := &Claim{statePath: name + ".state"}
	var err error
	if c.ownerLock, err = os.OpenFile(name+".owner", os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, fmt.Errorf("hot restart: %w", err)
	}
	if c.successorLock, err = os.OpenFile(name+".heir", os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		_ = c.ownerLock.Close() // nothing was written to the file
		return nil, fmt.Errorf("hot restart: %w", err)
	}
	if err := c.chooseRole(address); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// chooseRole locks the first file that is not locked, and sets the role accordingly.
func (c *Claim) chooseRole(address string) error {
	locked, err := tryLock(c.ownerLock)
	if err != nil || locked {
		return err
	}
	c.role = RoleSuccessor
	if locked, err = tryLock(c.successorLock); err != nil {
		return err
	}
	if !locked {
		return fmt.Errorf("hot restart: %s: %w", address, ErrAddressTaken)
	}
	// The state for an earlier successor must be removed before the owner detects this one and writes new state.
	if err := os.Remove(c.statePath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	_, err = c.successorLock.WriteAt([]byte(markStarting), 0)
	return err
}

// wholeFileLock returns the parameters of a lock on a whole file, for use with the commands for open file description locks (F_OFD).
func wholeFileLock(lockType int16) *unix.Flock_t { return &unix.Flock_t{Type: lockType} }

// tryLock tries to lock a file without waiting and reports whether it succeeded.
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

// isLocked reports whether another process has locked a file. It does not try to lock the file, since that could make the attempt of
// a starting process fail.
func isLocked(f *os.File) bool {
	lock := wholeFileLock(unix.F_WRLCK)
	return unix.FcntlFlock(f.Fd(), unix.F_OFD_GETLK, lock) == nil && lock.Type != unix.F_UNLCK
}

// Role returns the current role of the process.
func (c *Claim) Role() Role {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.role
}

// AnnounceReady announces to the owner that this successor accepts connections. It does nothing if the process is the owner.
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

// Successor returns the state of the successor; SuccessorNone if the process is not the owner.
func (c *Claim) Successor() SuccessorState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.role != RoleOwner || !isLocked(c.successorLock) {
		return SuccessorNone
	}
	b := make([]byte, len(markReady))
	n, _ := c.successorLock.ReadAt(b, 0) // a short file ends with io.EOF
	switch string(b[:n]) {
	case markReady:
		return SuccessorReady
	case markStarting:
		return SuccessorStarting
	}
	return SuccessorNone // the successor has not written its state yet
}

// WriteState writes the state that an owner leaves to its successor. The file appears atomically.
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

// TakeState returns and removes the state that the owner has written for this successor; ok is false if there is none.
func (c *Claim) TakeState() (state []byte, ok bool) {
	state, err := os.ReadFile(c.statePath)
	if err != nil {
		return nil, false
	}
	_ = os.Remove(c.statePath) // a file that remains is replaced by the next owner
	return state, true
}

// TryTakeOver makes a successor the owner if the previous owner has ended. It reports whether the process is the owner now.
func (c *Claim) TryTakeOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.role == RoleOwner {
		return true
	}
	if locked, err := tryLock(c.ownerLock); err != nil || !locked {
		return false
	}
	c.role = RoleOwner
	_ = c.successorLock.Truncate(0)                                                          // the content is valid only while the file is locked
	_ = unix.FcntlFlock(c.successorLock.Fd(), unix.F_OFD_SETLK, wholeFileLock(unix.F_UNLCK)) // cannot fail: this process holds the lock
	return true
}

// Watch polls the claim at an interval until the context is done. It calls onSuccessor when the state of an owner's successor has
// changed, and onTakeOver when a successor has become the owner.
func (c *Claim) Watch(ctx context.Context, interval time.Duration, onSuccessor func(SuccessorState), onTakeOver func()) {
	last := SuccessorNone
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if c.Role() == RoleSuccessor {
			if c.TryTakeOver() {
				onTakeOver()
			}
			continue
		}
		if state := c.Successor(); state != last {
			last = state
			onSuccessor(state)
		}
	}
}

// Close releases the claim. Closing the files releases their locks.
func (c *Claim) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.successorLock.Close()
	_ = c.ownerLock.Close()
}
