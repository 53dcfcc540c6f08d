package declaration

import (
	"testing"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/testutil/golden"
)

// TestGoldenConfiguration: a configuration that uses each field has the bytes and the digest that it had.
func TestGoldenConfiguration(t *testing.T) {
	c := &fleetconfig.Config{
		Revision: 300,
		Routes: []fleetconfig.Route{
			{
				Name: "chat", Host: "a.example", Prefix: "/chat/", Type: fleetconfig.Streaming, Timeout: 12000, Target: 800, Priority: 1,
				Service: "scribe", Attempts: 2, Public: true, Affinity: true, Resume: true,
			},
			{
				Name: "read", Host: "a.example", Prefix: "/", Type: fleetconfig.Idempotent, Timeout: 2500.5,
				Split: []fleetconfig.Share{{Service: "scribe", Weight: 1}, {Service: "reader", Weight: 0.5}},
			},
			{Name: "write", Host: "b.example", Prefix: "/", Type: fleetconfig.NonIdempotent, Timeout: 100, Service: "reader"},
		},
		Services: []fleetconfig.Service{
			{Name: "scribe", Health: "/health", MaxConns: 110, Protocol: "h1", Scale: &fleetconfig.Scale{Min: 2, Max: 12, BootS: 7.5}},
			{Name: "reader", TLS: true},
		},
		Limits:  fleetconfig.Limits{HeaderBytes: 8192, BodyBytes: 1_000_000, HeaderMS: 500, IdleMS: 15_000.5},
		Tenants: []fleetconfig.Tenant{{Name: "lab", Keys: []string{"one", "two"}, Priority: 2, PerS: 0.5}},
	}
	golden.RoundTrip(t, "configuration.cbor.hex", c, func(c *fleetconfig.Config) []byte {
		b, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}, func(b []byte) (*fleetconfig.Config, error) {
		got, digest, err := fleetconfig.Decode(b)
		golden.Check(t, "configuration.digest.hex", digest[:])
		return got, err
	})
}
