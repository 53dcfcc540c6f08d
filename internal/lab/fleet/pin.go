package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"

	"golang.org/x/sys/unix"
)

// startPinned starts a process on the machine's first core only. A process takes over the cores of the thread that
// starts it.
func startPinned(cmd *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, first unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return fmt.Errorf("pin: %w", err)
	}
	first.Set(0)
	if err := unix.SchedSetaffinity(0, &first); err != nil {
		return fmt.Errorf("pin: %w", err)
	}
	defer func() { _ = unix.SchedSetaffinity(0, &before) }() // it was so before
	return cmd.Start()
}

// leaveFirstCore keeps this program off the machine's first core, which is the routers'. On one core it does nothing.
func leaveFirstCore() error {
	var rest unix.CPUSet
	for n := 1; n < runtime.NumCPU(); n++ {
		rest.Set(n)
	}
	if rest.Count() == 0 {
		return nil
	}
	threads, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return fmt.Errorf("pin: %w", err)
	}
	for _, t := range threads { // those that start later take this over
		id, err := strconv.Atoi(t.Name())
		if err == nil {
			err = unix.SchedSetaffinity(id, &rest)
		}
		if err != nil {
			return fmt.Errorf("pin: %w", err)
		}
	}
	return nil
}
