package hotrestart

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen listens on an address that another process of the same user may listen on as well (SO_REUSEPORT). With preferred, the kernel
// assigns all new connections to this listener while it is the second of the group, so that the accept queue of the first one drains.
// If the kernel does not support that, both listeners get connections, and Listen returns an error together with the listener.
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
		err = fmt.Errorf("hot restart: new connections are spread over both processes: %w", err)
	}
	return ln, err
}

// control calls setOption with the file descriptor of a socket.
func control(c syscall.RawConn, setOption func(fd int) error) error {
	var optionErr error
	if err := c.Control(func(fd uintptr) { optionErr = setOption(int(fd)) }); err != nil {
		return err
	}
	return optionErr
}

func reusePort(fd int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
}

// preferSecond attaches the BPF program "return 1" to the group of listeners, which selects the listener with index 1, the second. Once
// the first one is closed, index 1 is invalid and the kernel distributes connections over the remaining listeners.
func preferSecond(fd int) error {
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
		&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}
