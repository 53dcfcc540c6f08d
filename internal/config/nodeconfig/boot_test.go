package nodeconfig

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const good = `{"node_name":"n","machine_class":"core","ip_address":"10.0.0.1","zone":"z","zone_map":{"z":"r"},
 "listeners":{"control_plane":"10.0.0.1:80","frontend":"10.0.0.1:81","readiness":"10.0.0.1:82"},"internal_port_range":[7000,7003],
 "seed_nodes":["10.0.0.2:80"],"bootstrap":true,"quorum_member":true,"data_directory":"/data",
 "request_limits":{"cpu_fraction":0.3,"cpu_cores":1,"memory_mb":280,"max_open_files":4096},
 "cloud_api":{"address":"10.200.0.1:80","duties":["autoscaler"]},"bounds":{"lease_ms":2000},"later_field":{"x":[1]}}`

func TestGood(t *testing.T) {
	s, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if !s.IsReplica() || s.Bounds.LeaseMS != 2000 || s.Bounds.DrainTimeoutMS != 3000 || !s.CloudAPI.HasRole("autoscaler") || s.CloudAPI.HasRole("usage_reporting") {
		t.Errorf("%+v", s)
	}
	if s, err := Parse([]byte(strings.Replace(good, `"/data"`, "null", 1))); err == nil {
		t.Errorf("a member without a disk: %+v", s)
	}
}

func TestEveryFaultAtOnce(t *testing.T) {
	for change, key := range map[string]string{
		`"ip_address":"10.0.0.1"=>"ip_address":"here"`:      "ip_address",
		`"node_name":"n"=>"node_name":""`:                   "node_name",
		`[7000,7003]=>[7003,7000]`:                          "internal_port_range",
		`"10.0.0.1:81"=>"front"`:                            "listeners.frontend",
		`"10.0.0.2:80"=>"seed"`:                             "seed_nodes[0]",
		`"memory_mb":280=>"memory_mb":1`:                    "request_limits",
		`"lease_ms":2000=>"lease_ms":0`:                     "lease_ms",
		`"zone":"z"=>"zone":""`:                             "zone",
		`,"readiness":"10.0.0.1:82"=>`:                      "listeners.readiness",
		`"listeners":{=>"listeners":[],"x":{`:               "listeners",
		`"address":"10.200.0.1:80"=>"address":"10.200.0.1"`: "cloud_api.address",
	} {
		from, to, _ := strings.Cut(change, "=>")
		text := strings.Replace(good, from, to, 1)
		if text == good {
			t.Fatalf("%q is not in the settings", from)
		}
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", change, err)
		}
	}
	two := strings.NewReplacer(`"node_name":"n"`, `"node_name":""`, `"zone":"z"`, `"zone":""`).Replace(good)
	path := filepath.Join(t.TempDir(), "boot.json")
	if err := os.WriteFile(path, []byte(two), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	if f := (FieldErrors{}); !errors.As(err, &f) || len(f) != 2 || !strings.Contains(f[0].Error(), path) {
		t.Errorf("%v", err)
	}
	for _, path := range []string{"", "none.json"} {
		if _, err := Load(path); err == nil {
			t.Errorf("%q is taken", path)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Fuzz(func(t *testing.T, b []byte) { _, _ = Parse(b) })
}
