package configfile

import (
	"testing"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/testutil/golden"
)

// TestGoldenConfiguration checks that the encoding and the digest of a configuration with a value in each field do not change.
func TestGoldenConfiguration(t *testing.T) {
	c := &fleetconfig.Config{
		Revision: 300,
		Routes: []fleetconfig.Route{
			{
				Name: "chat", Hostname: "a.example", PathPrefix: "/chat/", Type: fleetconfig.RouteStreaming, TimeoutMS: 12000, TargetLatencyMS: 800, Priority: 1,
				TargetService: "scribe", MaxAttempts: 2, Public: true, SessionAffinity: true, Resumable: true,
			},
			{
				Name: "read", Hostname: "a.example", PathPrefix: "/", Type: fleetconfig.RouteIdempotent, TimeoutMS: 2500.5,
				TrafficSplit: []fleetconfig.WeightedService{{Service: "scribe", Weight: 1}, {Service: "reader", Weight: 0.5}},
			},
			{Name: "write", Hostname: "b.example", PathPrefix: "/", Type: fleetconfig.RouteNonIdempotent, TimeoutMS: 100, TargetService: "reader"},
		},
		Services: []fleetconfig.Service{
			{Name: "scribe", HealthPath: "/health", MaxConnections: 110, Protocol: "h1", Autoscaling: &fleetconfig.Autoscaling{MinInstances: 2, MaxInstances: 12, BootTimeoutS: 7.5}},
			{Name: "reader", TLSEnabled: true},
		},
		RequestLimits: fleetconfig.RequestLimits{MaxHeaderBytes: 8192, MaxBodyBytes: 1_000_000, HeaderTimeoutMS: 500, IdleTimeoutMS: 15_000.5},
		Tenants:       []fleetconfig.Tenant{{Name: "lab", APIKeys: []string{"one", "two"}, Priority: 2, RatePerS: 0.5}},
	}
	golden.RoundTrip(t, "configuration.cbor.hex", c, func(c *fleetconfig.Config) []byte {
		b, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}, func(b []byte) (*fleetconfig.Config, error) {
		got, digest, err := fleetconfig.DecodeWithDigest(b)
		golden.Check(t, "configuration.digest.hex", digest[:])
		return got, err
	})
}
