package node

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/limits"
)

// TestReducedRequestLimitsAreLoggedWhenTheyChange: limits above the capacity of the machine are logged once, not for each
// configuration that repeats them.
func TestReducedRequestLimitsAreLoggedWhenTheyChange(t *testing.T) {
	var logged bytes.Buffer
	d := &dataPlane{dataPlaneOptions: dataPlaneOptions{
		log:    slog.New(slog.NewTextHandler(&logged, nil)),
		limits: limits.NewFleetRouter(limits.Machine{Cores: 1, MemoryMB: 256, Sockets: 4096}),
	}}
	above := fleetconfig.RequestLimits{MaxHeaderBytes: 1 << 30, MaxBodyBytes: 1 << 30}
	within := fleetconfig.RequestLimits{MaxHeaderBytes: 1 << 10, MaxBodyBytes: 1 << 10}
	aboveInPart := fleetconfig.RequestLimits{MaxHeaderBytes: 1 << 30, MaxBodyBytes: 1 << 10}
	for _, step := range []struct {
		name   string
		limits fleetconfig.RequestLimits
		logged int // number of messages so far
	}{
		{"above the capacity", above, 1},
		{"unchanged in the next configuration", above, 1},
		{"within the capacity", within, 1},
		{"above the capacity again", above, 2},
		{"only the headers above the capacity", aboveInPart, 3},
	} {
		d.applyRequestLimits(&step.limits)
		if n := strings.Count(logged.String(), "request_limits reduced"); n != step.logged {
			t.Errorf("%s: logged %d times, want %d", step.name, n, step.logged)
		}
	}
}
