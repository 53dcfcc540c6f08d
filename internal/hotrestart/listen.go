package hotrestart

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen opens an address that another process of the same user may have open (SO_REUSEPORT). With preferred, the kernel gives
// all new connections to this listener while it is the second of its group, so that the queue of the first one empties. Where the
// kernel cannot do that, both get a part of them, and an error is returned beside the listener.
func Listen(ctx context.Context, address string, preferred bool) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return control(c, reusePort) }}
	ln, err := lc.Listen(ctx, "tcp", address)
	if err != nil || !preferred {
		return ln, err
	}
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = control(raw, preferSecond)
	}
	if err != nil {
		err = fmt.Errorf("hot restart: new connections go to both processes: %w", err)
	}
	return ln, err
}

// control applies a socket option.
func control(c syscall.RawConn, set func(fd int) error) error {
	var setErr error
	if err := c.Control(func(fd uintptr) { setErr = set(int(fd)) }); err != nil {
		return err
	}
	return setErr
}

func reusePort(fd int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
}

// preferSecond attaches the program "return 1" to the group of listeners: the index of the second one. When the first has closed
// there is no second, and the kernel chooses among those that are left.
func preferSecond(fd int) error {
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
		&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}
