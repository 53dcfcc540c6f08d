package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"

	"golang.org/x/sys/unix"
)

// startPinned starts a process that may run on the first core only. A child inherits the CPU affinity of the thread that
// starts it.
func startPinned(cmd *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, first unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return fmt.Errorf("set CPU affinity: %w", err)
	}
	first.Set(0)
	if err := unix.SchedSetaffinity(0, &first); err != nil {
		return fmt.Errorf("set CPU affinity: %w", err)
	}
	defer func() { _ = unix.SchedSetaffinity(0, &before) }() // restores the affinity that the thread had
	return cmd.Start()
}

// leaveFirstCore excludes the first core, which is reserved for the routers, from the CPU affinity of this process. On a
// machine with one core it does nothing.
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
		return fmt.Errorf("set CPU affinity: %w", err)
	}
	for _, t := range threads { // later threads inherit this
		id, err := strconv.Atoi(t.Name())
		if err == nil {
			err = unix.SchedSetaffinity(id, &rest)
		}
		if err != nil {
			return fmt.Errorf("set CPU affinity: %w", err)
		}
	}
	return nil
}
