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

// dial opens a connection to an engine whose traffic is counted.
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

// setUserTimeout makes a connection fail when sent data stays unacknowledged for limits.UpstreamUserTimeout
// (TCP_USER_TIMEOUT, RFC 5482). This detects a machine that is down or partitioned; a slow one still acknowledges.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// On a kernel without this option, requests fail at their deadlines instead.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limits.UpstreamUserTimeout.Milliseconds()))
	})
}
