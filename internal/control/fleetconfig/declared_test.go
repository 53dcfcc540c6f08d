package fleetconfig

import (
	"errors"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// good is a configuration as the operator sends one.
func good() map[string]any {
	return map[string]any{
		"revision": 7,
		"routes": []any{
			map[string]any{"name": "r1", "hostname": "a.example", "path_prefix": "/x/", "route_type": "streaming", "timeout_ms": 12000,
				"target_latency_ms": 800, "priority": 1, "max_attempts": 2, "session_affinity": true,
				"traffic_split": []any{map[string]any{"target_service": "s", "weight": 90}, map[string]any{"target_service": "t", "weight": 10}}},
			map[string]any{"name": "r2", "hostname": "a.example", "path_prefix": "/x/y/", "route_type": "idempotent", "timeout_ms": 2500,
				"target_service": "t", "max_attempts": 3, "later_field": []any{1, 2}},
		},
		"services":       []any{map[string]any{"name": "s", "autoscaling": map[string]any{"min_instances": 2, "max_instances": 9, "boot_timeout_s": 4.0}}, map[string]any{"name": "t"}},
		"request_limits": map[string]any{"max_header_bytes": 16384},
		"tenants":        []any{map[string]any{"name": "k", "api_keys": []any{"one", "two"}}, map[string]any{"name": "l", "api_keys": []any{"three"}}},
	}
}

func marshal(t *testing.T, v any) []byte {
	t.Helper()
	b, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestGood(t *testing.T) {
	c, _, err := DecodeWithDigest(marshal(t, good()))
	if err != nil || c.Validate() != nil {
		t.Fatalf("%v, %v", err, c.Validate())
	}
	if c.Revision != 7 || len(c.Routes) != 2 || len(c.Routes[0].Targets()) != 2 || c.Routes[1].Targets()[0].Service != "t" ||
		c.Services[0].Autoscaling.MaxInstances != 9 || c.Tenants[0].APIKeys[1] != "two" {
		t.Errorf("%+v", c)
	}
}

func TestDigestIsOfTheMeaning(t *testing.T) {
	v := good()
	_, d1, _ := DecodeWithDigest(marshal(t, v))
	sorted, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		t.Fatal(err)
	}
	b, err := sorted.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if _, d2, err := DecodeWithDigest(b); err != nil || d1 != d2 {
		t.Errorf("two encodings of one configuration differ: %v", err)
	}
	v["routes"].([]any)[1].(map[string]any)["later_field"] = []any{1, 3}
	if _, d3, _ := DecodeWithDigest(marshal(t, v)); d3 == d1 {
		t.Error("a field that is not known is no part of the digest")
	}
}

func TestInvalid(t *testing.T) {
	route := func(v map[string]any, i int) map[string]any { return v["routes"].([]any)[i].(map[string]any) }
	for name, change := range map[string]func(map[string]any){
		"service":   func(v map[string]any) { route(v, 1)["target_service"] = "none" },
		"same host": func(v map[string]any) { route(v, 1)["path_prefix"] = "/x/" },
		"add up": func(v map[string]any) {
			for _, s := range route(v, 0)["traffic_split"].([]any) {
				s.(map[string]any)["weight"] = 0
			}
		},
		"timeout_ms": func(v map[string]any) { route(v, 0)["timeout_ms"] = 0 },
		"a key":      func(v map[string]any) { v["tenants"].([]any)[1].(map[string]any)["api_keys"] = []any{"one"} },
		"revision":   func(v map[string]any) { v["revision"] = 0 },
		"slash":      func(v map[string]any) { route(v, 0)["path_prefix"] = "/x" },
		"route_type": func(v map[string]any) { route(v, 0)["route_type"] = "odd" },
		"weight":     func(v map[string]any) { route(v, 0)["traffic_split"].([]any)[0].(map[string]any)["weight"] = -1 },
	} {
		v := good()
		change(v)
		c, _, err := DecodeWithDigest(marshal(t, v))
		if err == nil {
			err = c.Validate()
		}
		if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
	whole := marshal(t, good())
	for name, b := range map[string][]byte{
		"nothing": nil, "cut off": whole[:len(whole)-3], "more behind": append(append([]byte{}, whole...), 0), "a list": {0x80},
		"a key twice": {0xa2, 0x61, 'a', 1, 0x61, 'a', 2}, "text": []byte("{}"),
	} {
		if _, _, err := DecodeWithDigest(b); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
	// Every fault is told at once.
	v := good()
	route(v, 0)["timeout_ms"], route(v, 1)["target_service"] = 0, "none"
	c, _, _ := DecodeWithDigest(marshal(t, v))
	if f, ok := c.Validate().(FieldErrors); !ok || len(f) < 2 {
		t.Errorf("%v", c.Validate())
	}
}

func FuzzDecode(f *testing.F) {
	b, err := cbor.Marshal(good())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, _, err := DecodeWithDigest(b); err == nil {
			c.Validate()
		}
	})
}
