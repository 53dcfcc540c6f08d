package node

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/limits"
)

// TestReducedRequestLimitsAreLoggedWhenTheyChange: a machine that holds less than the configuration asks for says so once, and
// again when the configuration asks for something else.
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
		logged int // in all
	}{
		{"above the machine", above, 1},
		{"again, with the next configuration", above, 1},
		{"within the machine", within, 1},
		{"above it again", above, 2},
		{"above it in another way", aboveInPart, 3},
	} {
		d.applyRequestLimits(&step.limits)
		if n := strings.Count(logged.String(), "request_limits reduced"); n != step.logged {
			t.Errorf("%s: logged %d times, want %d", step.name, n, step.logged)
		}
	}
}
