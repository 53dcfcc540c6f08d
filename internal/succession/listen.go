package succession

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen opens an address that another process of the same owner may have open. With lead, the kernel leads all new
// connections to this listener, as long as it is the second of its group: the queue of the first runs dry. Where the
// kernel cannot, both get their part, and err says so beside the listener.
func Listen(address string, lead bool) (ln net.Listener, err error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		if err := c.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); err != nil {
			return err
		}
		return set
	}}
	if ln, err = lc.Listen(context.Background(), "tcp", address); err != nil || !lead {
		return ln, err
	}
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err == nil {
		var set error
		err = raw.Control(func(fd uintptr) {
			// "return 1": the second socket of the group. When the first has gone there is no second, and the kernel
			// chooses among those there are.
			prog := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
			set = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
				&unix.SockFprog{Len: uint16(len(prog)), Filter: &prog[0]})
		})
		if err == nil {
			err = set
		}
	}
	if err != nil {
		err = fmt.Errorf("succession: new connections go to both processes: %w", err)
	}
	return ln, err
}
