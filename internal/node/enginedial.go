package node

import (
	"cmp"
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"notchhinge/internal/control/metrics"
	"notchhinge/internal/limits"
)

// dial opens a connection to an engine, and has it counted.
func (d *dataPlane) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{KeepAlive: -1, Control: setUserTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	zone := d.zone
	if all := d.endpointZones.Load(); all != nil {
		zone = cmp.Or((*all)[addr], zone)
	}
	return d.traffic.Wrap(metrics.CauseEngines, c, zone != d.zone), nil
}

// setUserTimeout has a connection end once what was sent on it has not even been received for so long: a machine that is dark or cut
// off does not acknowledge, one that is merely slow does.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) { // where a kernel does not know it, requests wait for their deadlines as they would without
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limits.UpstreamUserTimeout.Milliseconds()))
	})
}
