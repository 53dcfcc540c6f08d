package fleetconfig

import (
	"errors"
	"math"
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
		{"service name longer than in a heartbeat", "services[1].name", func(v map[string]any) {
			entryOf(v, "services", 1)["name"] = strings.Repeat("t", MaxServiceNameBytes+1)
		}},
		{"two routes of one prefix", "same host", func(v map[string]any) { entryOf(v, "routes", 1)["path_prefix"] = "/x/" }},
		{"unknown type", "route_type", func(v map[string]any) { entryOf(v, "routes", 0)["route_type"] = "odd" }},
		{"no timeout", "timeout_ms", func(v map[string]any) { entryOf(v, "routes", 0)["timeout_ms"] = 0 }},
		{"target that is no number", "target_latency_ms", func(v map[string]any) {
			entryOf(v, "routes", 0)["target_latency_ms"] = math.NaN()
		}},
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
		{"unknown service beside a split", "routes[0].target_service", func(v map[string]any) {
			entryOf(v, "routes", 0)["target_service"] = "none"
		}},
		{"two routes of one host in upper and lower case", "same host", func(v map[string]any) {
			entryOf(v, "routes", 1)["hostname"], entryOf(v, "routes", 1)["path_prefix"] = "A.Example", "/x/"
		}},
		{"tenant name that ends a header", "tenants[0].name", func(v map[string]any) { entryOf(v, "tenants", 0)["name"] = "k\r\nX-A: b" }},
		{"tenant name that a header cannot keep", "tenants[0].name", func(v map[string]any) { entryOf(v, "tenants", 0)["name"] = "k " }},
		{"tenant name longer than in a usage report", "tenants[0].name", func(v map[string]any) {
			entryOf(v, "tenants", 0)["name"] = strings.Repeat("k", MaxTenantNameBytes+1)
		}},
		{"key of two tenants of one name", "api_keys", func(v map[string]any) {
			entryOf(v, "tenants", 1)["name"], entryOf(v, "tenants", 1)["api_keys"] = "k", []any{"one"}
		}},
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

// TestUnusualConfigurationIsValid guards against configurations that are refused although the platform's list of what is invalid
// does not have them. That they are served is shown in packages dialect and node.
func TestUnusualConfigurationIsValid(t *testing.T) {
	for name, change := range map[string]func(map[string]any){
		"service without a name": func(v map[string]any) {
			entryOf(v, "services", 1)["name"], entryOf(v, "routes", 1)["target_service"] = "", ""
			entryOf(entryOf(v, "routes", 0), "traffic_split", 1)["target_service"] = "s"
		},
		"two services of one name":       func(v map[string]any) { v["services"] = append(v["services"].([]any), map[string]any{"name": "s"}) },
		"a split with one service twice": func(v map[string]any) { entryOf(entryOf(v, "routes", 0), "traffic_split", 1)["target_service"] = "s" },
		"very small weights": func(v map[string]any) {
			for i := range 2 {
				entryOf(entryOf(v, "routes", 0), "traffic_split", i)["weight"] = 1e-310
			}
		},
		"more instances at least than at most": func(v map[string]any) {
			entryOf(v, "services", 0)["autoscaling"].(map[string]any)["min_instances"] = 10
		},
		"no host":          func(v map[string]any) { entryOf(v, "routes", 0)["hostname"] = "" },
		"host with a port": func(v map[string]any) { entryOf(v, "routes", 0)["hostname"] = "a.example:8080" },
		"host of two forms": func(v map[string]any) {
			entryOf(v, "routes", 1)["hostname"], entryOf(v, "routes", 1)["path_prefix"] = "a.example.", "/x/"
		},
		"prefix without a slash":   func(v map[string]any) { entryOf(v, "routes", 0)["path_prefix"] = "/x" },
		"prefix beyond ASCII":      func(v map[string]any) { entryOf(v, "routes", 0)["path_prefix"] = "/提示/" },
		"prefix with empty parts":  func(v map[string]any) { entryOf(v, "routes", 0)["path_prefix"] = "//x//" },
		"prefix in two encodings":  func(v map[string]any) { entryOf(v, "routes", 1)["path_prefix"] = "/%78/" },
		"negative target":          func(v map[string]any) { entryOf(v, "routes", 0)["target_latency_ms"] = -1 },
		"a very short timeout":     func(v map[string]any) { entryOf(v, "routes", 0)["timeout_ms"] = 1e-9 },
		"tenant without a name":    func(v map[string]any) { entryOf(v, "tenants", 0)["name"] = "" },
		"two tenants of one name":  func(v map[string]any) { entryOf(v, "tenants", 1)["name"] = "k" },
		"key twice at one tenant":  func(v map[string]any) { entryOf(v, "tenants", 0)["api_keys"] = []any{"one", "one"} },
		"tenant name beyond ASCII": func(v map[string]any) { entryOf(v, "tenants", 0)["name"] = "提示" },
	} {
		t.Run(name, func(t *testing.T) {
			v := validConfig()
			change(v)
			c, _ := decode(t, v)
			if err := c.Validate(); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestMissingFieldIsNotAnEmptyOne guards against a route without a path_prefix, which decoded is one that matches every path.
func TestMissingFieldIsNotAnEmptyOne(t *testing.T) {
	if err := CheckRequiredFields(marshal(t, validConfig())); err != nil {
		t.Error(err)
	}
	for _, c := range []struct {
		list, key, want string
	}{
		{"routes", "hostname", "routes[0].hostname (r1): is missing"},
		{"routes", "path_prefix", "routes[0].path_prefix (r1): is missing"},
		{"services", "name", "services[0].name: is missing"},
		{"tenants", "name", "tenants[0].name: is missing"},
	} {
		v := validConfig()
		entryOf(v, c.list, 0)[c.key] = ""
		if err := CheckRequiredFields(marshal(t, v)); err != nil {
			t.Errorf("empty %s: %v", c.key, err)
		}
		for how, change := range map[string]func(map[string]any){
			"missing": func(e map[string]any) { delete(e, c.key) }, "null": func(e map[string]any) { e[c.key] = nil },
		} {
			change(entryOf(v, c.list, 0))
			if err := CheckRequiredFields(marshal(t, v)); !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%s: got %v, want %q", how, err, c.want)
			}
		}
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
