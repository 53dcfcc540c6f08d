package nodeconfig

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const validSettings = `{"node_name":"n","machine_class":"core","ip_address":"10.0.0.1","zone":"z","zone_map":{"z":"r"},
 "listeners":{"control_plane":"10.0.0.1:80","frontend":"10.0.0.1:81","readiness":"10.0.0.1:82"},"internal_port_range":[7000,7003],
 "seed_nodes":["10.0.0.2:80"],"bootstrap":true,"quorum_member":true,"data_directory":"/data",
 "request_limits":{"cpu_fraction":0.3,"cpu_cores":1,"memory_mb":280,"max_open_files":4096},
 "cloud_api":{"address":"10.200.0.1:80","duties":["autoscaler"]},"bounds":{"lease_ms":2000},"later_field":{"x":[1]}}`

// replaceSetting returns the valid settings with one text replaced; from must occur in them.
func replaceSetting(t *testing.T, from, to string) []byte {
	t.Helper()
	text := strings.Replace(validSettings, from, to, 1)
	if text == validSettings {
		t.Fatalf("%q is not in the settings", from)
	}
	return []byte(text)
}

func TestParseReadsSettingsAndFillsInDefaults(t *testing.T) {
	got, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	want := &Config{
		NodeName: "n", MachineClass: "core", IPAddress: "10.0.0.1", Zone: "z", ZoneRegions: map[string]string{"z": "r"},
		Listeners:     Listeners{ControlPlane: "10.0.0.1:80", Frontend: "10.0.0.1:81", Readiness: "10.0.0.1:82"},
		InternalPorts: []int{7000, 7003}, SeedNodes: []string{"10.0.0.2:80"}, Bootstrap: true, QuorumMember: true, DataDir: "/data",
		Machine:             Machine{CPUFraction: 0.3, CPUCores: 1, MemoryMB: 280, MaxOpenFiles: 4096},
		HeartbeatIntervalMS: 1500,
		Bounds: Bounds{
			ContactMS: 4000, DrainTimeoutMS: 3000, GracePeriodS: 6, ConfigApplyMS: 3000, LeaseMS: 2000, UsageWindowS: 5, UsageDelayS: 10,
		},
		CloudAPI: CloudAPI{Address: "10.200.0.1:80", SingletonRoles: []string{RoleAutoscaler}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if !got.IsReplica() || got.HeartbeatInterval() != 1500*time.Millisecond {
		t.Errorf("IsReplica %v, HeartbeatInterval %v; want true, 1.5s", got.IsReplica(), got.HeartbeatInterval())
	}
	if !got.CloudAPI.HasRole(RoleAutoscaler) || got.CloudAPI.HasRole(RoleUsage) {
		t.Errorf("roles %v, want only the autoscaler", got.CloudAPI.SingletonRoles)
	}
}

func TestInvalidSettingsAreRejectedByKey(t *testing.T) {
	for _, c := range []struct{ from, to, key string }{
		{`"ip_address":"10.0.0.1"`, `"ip_address":"here"`, "ip_address"},
		{`"ip_address":"10.0.0.1"`, `"ip_address":"::1"`, "ip_address"},
		{`"node_name":"n"`, `"node_name":""`, "node_name"},
		{`[7000,7003]`, `[7003,7000]`, "internal_port_range"},
		{`[7000,7003]`, `[7000]`, "internal_port_range"},
		{`[7000,7003]`, `[7000,65536]`, "internal_port_range"},
		{`"10.0.0.1:81"`, `"front"`, "listeners.frontend"},
		{`"10.0.0.2:80"`, `"seed"`, "seed_nodes[0]"},
		{`"memory_mb":280`, `"memory_mb":1`, "request_limits"},
		{`"cpu_fraction":0.3`, `"cpu_fraction":0`, "request_limits"},
		{`"max_open_files":4096`, `"max_open_files":299`, "request_limits"},
		{`"lease_ms":2000`, `"lease_ms":0`, "lease_ms"},
		{`"lease_ms":2000`, `"grace_period_s":-1`, "bounds.grace_period_s"},
		{`"zone":"z"`, `"zone":""`, "zone"},
		{`,"readiness":"10.0.0.1:82"`, ``, "listeners.readiness"},
		{`"listeners":{`, `"listeners":[],"x":{`, "listeners"},
		{`"listeners":{`, `"listeners":{},"x":{`, "listeners"},
		{`"address":"10.200.0.1:80"`, `"address":"10.200.0.1"`, "cloud_api.address"},
		{`"/data"`, `null`, "data_directory"},
		{`"bootstrap":true`, `"fault_tolerance":{"machines":-1}`, "fault_tolerance"},
	} {
		_, err := Parse(replaceSetting(t, c.from, c.to))
		if _, ok := errors.AsType[FieldErrors](err); !ok || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%s instead of %s: got %v, want an error that names %s", c.to, c.from, err, c.key)
		}
	}
}

func TestLoadReportsEveryErrorWithThePath(t *testing.T) {
	text := strings.NewReplacer(`"node_name":"n"`, `"node_name":""`, `"zone":"z"`, `"zone":""`).Replace(validSettings)
	path := filepath.Join(t.TempDir(), "boot.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	fields, ok := errors.AsType[FieldErrors](err)
	if !ok || len(fields) != 2 {
		t.Fatalf("got %v, want two errors", err)
	}
	want := path + ": node_name: must not be empty\n" + path + ": zone: must not be empty"
	if diff := cmp.Diff(want, err.Error()); diff != "" {
		t.Error(diff)
	}
}

func TestLoadRequiresAFile(t *testing.T) {
	for _, path := range []string{"", "none.json"} {
		if _, err := Load(path); err == nil {
			t.Errorf("path %q: no error", path)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := Parse(b)
		if (c == nil) == (err == nil) {
			t.Errorf("settings %v with error %v, want exactly one of them", c, err)
		}
	})
}
