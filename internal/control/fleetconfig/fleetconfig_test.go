package fleetconfig

import (
	"errors"
	"strconv"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// validConfig returns a configuration as an operator submits it, with a field that is unknown to this program.
func validConfig() map[string]any {
	return map[string]any{
		"revision": 7,
		"routes": []any{
			map[string]any{
				"name": "r1", "hostname": "a.example", "path_prefix": "/x/", "route_type": "streaming", "timeout_ms": 12000,
				"target_latency_ms": 800, "priority": 1, "max_attempts": 2, "session_affinity": true,
				"traffic_split": []any{
					map[string]any{"target_service": "s", "weight": 90}, map[string]any{"target_service": "t", "weight": 10},
				},
			},
			map[string]any{
				"name": "r2", "hostname": "a.example", "path_prefix": "/x/y/", "route_type": "idempotent", "timeout_ms": 2500,
				"target_service": "t", "max_attempts": 3, "later_field": []any{1, 2},
			},
		},
		"services": []any{
			map[string]any{"name": "s", "autoscaling": map[string]any{"min_instances": 2, "max_instances": 9, "boot_timeout_s": 4.0}},
			map[string]any{"name": "t"},
		},
		"request_limits": map[string]any{"max_header_bytes": 16384},
		"tenants": []any{
			map[string]any{"name": "k", "api_keys": []any{"one", "two"}}, map[string]any{"name": "l", "api_keys": []any{"three"}},
		},
	}
}

// entryOf returns the entry at an index of a list.
func entryOf(v map[string]any, list string, i int) map[string]any {
	return v[list].([]any)[i].(map[string]any)
}

func marshal(t *testing.T, v any) []byte {
	t.Helper()
	b, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func decode(t *testing.T, v any) (*Config, Digest) {
	t.Helper()
	c, digest, err := DecodeWithDigest(marshal(t, v))
	if err != nil {
		t.Fatal(err)
	}
	return c, digest
}

func TestDecodeReadsEveryKnownField(t *testing.T) {
	got, _ := decode(t, validConfig())
	want := &Config{
		Revision: 7,
		Routes: []Route{
			{
				Name: "r1", Hostname: "a.example", PathPrefix: "/x/", Type: RouteStreaming, TimeoutMS: 12000, TargetLatencyMS: 800,
				Priority: 1, MaxAttempts: 2, SessionAffinity: true, TrafficSplit: []WeightedService{{"s", 90}, {"t", 10}},
			},
			{Name: "r2", Hostname: "a.example", PathPrefix: "/x/y/", Type: RouteIdempotent, TimeoutMS: 2500, TargetService: "t", MaxAttempts: 3},
		},
		Services: []Service{
			{Name: "s", Autoscaling: &Autoscaling{MinInstances: 2, MaxInstances: 9, BootTimeoutS: 4}}, {Name: "t"},
		},
		RequestLimits: RequestLimits{MaxHeaderBytes: 16384},
		Tenants:       []Tenant{{Name: "k", APIKeys: []string{"one", "two"}}, {Name: "l", APIKeys: []string{"three"}}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if err := got.Validate(); err != nil {
		t.Error(err)
	}
	if targets := got.Routes[1].Targets(); !cmp.Equal(targets, []WeightedService{{"t", 1}}) {
		t.Errorf("targets of a route without a split: %v", targets)
	}
}

func TestDecodeYields(t *testing.T) {
	c := &Config{Revision: 1}
	for i := range 3*YieldInterval + 1 {
		c.Tenants = append(c.Tenants, Tenant{Name: strconv.Itoa(i)})
	}
	yields := 0
	if _, err := Decode(marshal(t, c), func() { yields++ }); err != nil || yields != 3 {
		t.Errorf("%d calls of yield, error %v; want 3 calls", yields, err)
	}
}

func TestDigestDependsOnMeaningOnly(t *testing.T) {
	v := validConfig()
	_, digest := decode(t, v)
	canonical, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		t.Fatal(err)
	}
	b, err := canonical.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if _, other, err := DecodeWithDigest(b); err != nil || other != digest {
		t.Errorf("two encodings of one configuration have different digests, or error %v", err)
	}
	entryOf(v, "routes", 1)["later_field"] = []any{1, 3}
	if _, other := decode(t, v); other == digest {
		t.Error("an unknown field is not part of the digest")
	}
}

func TestInvalidConfigurationIsRejected(t *testing.T) {
	for _, c := range []struct {
		name, want string // want is contained in the error
		change     func(map[string]any)
	}{
		{"no revision", "revision", func(v map[string]any) { v["revision"] = 0 }},
		{"negative limit", "request_limits.max_body_bytes", func(v map[string]any) {
			v["request_limits"] = map[string]any{"max_body_bytes": -1}
		}},
		{"service without a name", "services[1].name", func(v map[string]any) { entryOf(v, "services", 1)["name"] = "" }},
		{"two services of one name", "services[1].name", func(v map[string]any) { entryOf(v, "services", 1)["name"] = "s" }},
		{"more instances at least than at most", "autoscaling", func(v map[string]any) {
			entryOf(v, "services", 0)["autoscaling"].(map[string]any)["min_instances"] = 10
		}},
		{"no host", "routes[0].hostname", func(v map[string]any) { entryOf(v, "routes", 0)["hostname"] = "" }},
		{"prefix without a slash", "slash", func(v map[string]any) { entryOf(v, "routes", 0)["path_prefix"] = "/x" }},
		{"two routes of one prefix", "same host", func(v map[string]any) { entryOf(v, "routes", 1)["path_prefix"] = "/x/" }},
		{"unknown type", "route_type", func(v map[string]any) { entryOf(v, "routes", 0)["route_type"] = "odd" }},
		{"no timeout", "timeout_ms", func(v map[string]any) { entryOf(v, "routes", 0)["timeout_ms"] = 0 }},
		{"negative target", "target_latency_ms", func(v map[string]any) { entryOf(v, "routes", 0)["target_latency_ms"] = -1 }},
		{"negative attempts", "max_attempts", func(v map[string]any) { entryOf(v, "routes", 0)["max_attempts"] = -1 }},
		{"unknown service", "service", func(v map[string]any) { entryOf(v, "routes", 1)["target_service"] = "none" }},
		{"negative weight", "traffic_split[0].weight", func(v map[string]any) {
			entryOf(v["routes"].([]any)[0].(map[string]any), "traffic_split", 0)["weight"] = -1
		}},
		{"weights of zero", "add up", func(v map[string]any) {
			for i := range 2 {
				entryOf(entryOf(v, "routes", 0), "traffic_split", i)["weight"] = 0
			}
		}},
		{"tenant without a name", "tenants[0].name", func(v map[string]any) { entryOf(v, "tenants", 0)["name"] = "" }},
		{"two tenants of one name", "tenants[1].name", func(v map[string]any) { entryOf(v, "tenants", 1)["name"] = "k" }},
		{"key of two tenants", "api_keys", func(v map[string]any) { entryOf(v, "tenants", 1)["api_keys"] = []any{"one"} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := validConfig()
			c.change(v)
			decoded, _ := decode(t, v)
			if err := decoded.Validate(); !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q in it", err, c.want)
			}
		})
	}
}

func TestMalformedTextIsRejected(t *testing.T) {
	whole := marshal(t, validConfig())
	for name, b := range map[string][]byte{
		"empty": nil, "truncated": whole[:len(whole)-3], "trailing bytes": append(append([]byte{}, whole...), 0), "list": {0x80},
		"duplicate key": {0xa2, 0x61, 'a', 1, 0x61, 'a', 2}, "JSON": []byte("{}"), "too large": make([]byte, MaxBytes+1),
	} {
		if _, _, err := DecodeWithDigest(b); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestValidateReportsEveryError(t *testing.T) {
	v := validConfig()
	entryOf(v, "routes", 0)["timeout_ms"], entryOf(v, "routes", 1)["target_service"] = 0, "none"
	c, _ := decode(t, v)
	want := FieldErrors{
		{Path: []string{"routes", "0", "timeout_ms"}, Owner: "r1", Message: "must be above 0, not 0"},
		{Path: []string{"routes", "1", "target_service"}, Owner: "r2", Message: `unknown service "none"`},
	}
	if diff := cmp.Diff(error(want), c.Validate()); diff != "" {
		t.Error(diff)
	}
	if got, want := want[1].String(), `routes[1].target_service (r2): unknown service "none"`; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func FuzzDecode(f *testing.F) {
	b, err := cbor.Marshal(validConfig())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		c, _, err := DecodeWithDigest(b)
		if err != nil {
			return
		}
		if err := c.Validate(); err != nil && !errors.Is(err, ErrInvalid) {
			t.Error(err)
		}
	})
}
