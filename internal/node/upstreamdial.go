package node

import (
	"cmp"
	"context"
	"net"
	"syscall"

	"notchhinge/internal/control/metrics"
	"notchhinge/internal/limits"

	"golang.org/x/sys/unix"
)

// dial opens a connection to an engine, and has its bytes counted.
func (d *dataPlane) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{KeepAlive: -1, Control: setUserTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	zone := d.zone
	if zones := d.endpointZones.Load(); zones != nil {
		zone = cmp.Or((*zones)[addr], zone)
	}
	return d.traffic.Wrap(metrics.CauseEngines, c, zone != d.zone), nil
}

// setUserTimeout has a connection fail once what was sent on it is not acknowledged for limits.UpstreamUserTimeout
// (TCP_USER_TIMEOUT, RFC 5482): a machine that is down or partitioned acknowledges nothing, one that is slow does.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Where a kernel does not know the option, requests wait for their deadlines.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limits.UpstreamUserTimeout.Milliseconds()))
	})
}
