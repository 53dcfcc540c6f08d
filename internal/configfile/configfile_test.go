package configfile

import (
	"bytes"
	stdcmp "cmp"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/invopop/jsonschema"

	"notchhinge/deploy"
	"notchhinge/internal/config/tomlfile"
	"notchhinge/internal/control/fleetconfig"
)

var update = flag.Bool("update", false, "regenerate deploy/configuration.schema.json")

func TestSchemaMatchesTheTypes(t *testing.T) {
	// Schemas of users may refer to the published names under $defs.
	publishedNames := map[string]string{"WeightedService": "Share", "Autoscaling": "Scale", "RequestLimits": "Limits"}
	r := jsonschema.Reflector{
		FieldNameTag: "toml", RequiredFromJSONSchemaTags: true, ExpandedStruct: true, Anonymous: true,
		Namer: func(t reflect.Type) string { return stdcmp.Or(publishedNames[t.Name()], t.Name()) },
	}
	s := r.Reflect(&fleetconfig.Config{})
	s.ID, s.Title = "", "a configuration of the fleet"
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	text = append(text, '\n')
	if *update {
		if err := os.WriteFile("../../deploy/configuration.schema.json", text, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if !bytes.Equal(text, deploy.ConfigurationSchema) {
		t.Error("deploy/configuration.schema.json does not match the types: run go test ./internal/configfile -run Schema -update")
	}
}

const validFile = `
[request_limits]
max_body_bytes = 1000000

[[services]]
name = "scribe"
health_path = "/health"
max_connections = 110

[services.autoscaling]
min_instances = 2
max_instances = 12

[[routes]]
name = "chat"
hostname = "a.example"
path_prefix = "/chat/"
route_type = "streaming"
timeout_ms = 12000
target_service = "scribe"
max_attempts = 2

[[routes]]
name = "read"
hostname = "a.example"
path_prefix = "/"
route_type = "idempotent"
timeout_ms = 2500.5
traffic_split = [{target_service = "scribe", weight = 1}]

[[tenants]]
name = "lab"
api_keys = ["one", "env:LAB_KEY", "file:lab.key"]
`

func testEnv(name string) string { return map[string]string{"LAB_KEY": "two"}[name] }

func parseValid(t *testing.T) *File {
	t.Helper()
	f, err := Parse([]byte(validFile), filepath.Join(t.TempDir(), "a.toml"), testEnv)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestParseReadsFileAndResolvesKeys(t *testing.T) {
	f := parseValid(t)
	if f.HasRevision || f.Routes[1].TimeoutMS != 2500.5 || f.Routes[1].TrafficSplit[0].Service != "scribe" || f.Services[0].Autoscaling.MaxInstances != 12 ||
		!cmp.Equal(f.Tenants[0].APIKeys[:2], []string{"one", "two"}) || !cmp.Equal(f.UnresolvedKeys, []string{"file:lab.key"}) {
		t.Errorf("%+v", f.Config)
	}
}

func TestEncodedFileIsReadAsTheSameConfig(t *testing.T) {
	f := parseValid(t)
	f.Revision = 4
	b, err := Encode(f.Config)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := Encode(f.Config); err != nil || !bytes.Equal(b, again) {
		t.Errorf("second encoding: different bytes, or an error: %v", err)
	}
	c, _, err := fleetconfig.DecodeWithDigest(b)
	if err != nil || c.Validate() != nil || !cmp.Equal(c, f.Config) {
		t.Errorf("decode and validate: %v (-want +got):\n%s", err, cmp.Diff(f.Config, c))
	}
	path := filepath.Join(t.TempDir(), "a.cbor")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	if loaded, err := Load(path, testEnv); err != nil || !loaded.HasRevision || !cmp.Equal(loaded.Config, f.Config) {
		t.Errorf("Load of the CBOR file: %+v %v", loaded, err)
	}
}

func TestRedactShowsNoKey(t *testing.T) {
	for _, k := range Redact(parseValid(t).Config).Tenants[0].APIKeys {
		if k == "one" || k == "two" {
			t.Error("Redact shows an API key")
		}
	}
}

func TestEveryErrorIsReportedWithItsLine(t *testing.T) {
	schemaErrors := strings.NewReplacer(
		`path_prefix = "/chat/"`, `path_prefix = "chat"`, // does not match the pattern
		`max_attempts = 2`, `max_tries = 2`, // unknown key
	).Replace(validFile)
	validationErrors := strings.NewReplacer(
		`target_service = "scribe"`+"\nmax", `target_service = "none"`+"\nmax", // unknown service: the schema cannot check references
		`weight = 1`, `weight = 0`,
		`"one", "env`, `"one", "one", "env`,
	).Replace(validFile)
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"errors against the schema": {schemaErrors, []string{"f.toml:17: routes[0].path_prefix", "f.toml:21: routes[0].max_tries: unknown key"}},
		"errors of Validate":        {validationErrors, []string{"f.toml:20: routes[0].target_service (chat): unknown service \"none\"", "f.toml:29: routes[1].traffic_split"}},
		"invalid TOML":              {"[[routes]\n", []string{"f.toml:1"}},
	} {
		_, err := Parse([]byte(c.text), "f.toml", testEnv)
		var errs tomlfile.Errors
		if !errors.As(err, &errs) || len(errs) != len(c.want) {
			t.Errorf("%s: unexpected errors: %v", name, err)
			continue
		}
		for i, w := range c.want {
			if !strings.HasPrefix(errs[i].Error(), w) {
				t.Errorf("%s: got error %q, want prefix %q", name, errs[i].Error(), w)
			}
		}
	}
}

// TestDiffSeesEveryEntryOfAName: a valid configuration may have several tenants or services of one name.
func TestDiffSeesEveryEntryOfAName(t *testing.T) {
	tenants := func(keys ...string) *fleetconfig.Config {
		c := &fleetconfig.Config{}
		for _, key := range keys {
			c.Tenants = append(c.Tenants, fleetconfig.Tenant{Name: "lab", APIKeys: []string{key}})
		}
		return c
	}
	var got []string
	for _, c := range Diff(tenants("one", "two", "three"), tenants("other", "two")) {
		got = append(got, c.String())
	}
	want := []string{"~ tenant lab: api_keys 1 (1 taken away) -> 1 (1 new)", "- tenant lab (3): 1 keys, priority 0"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestDiffListsEveryChange(t *testing.T) {
	read := func(text string) *fleetconfig.Config {
		t.Helper()
		f, err := Parse([]byte(text), "f.toml", testEnv)
		if err != nil {
			t.Fatal(err)
		}
		return f.Config
	}
	from := read(validFile)
	if d := Diff(from, read(validFile)); len(d) > 0 {
		t.Errorf("Diff of equal configurations: %v", d)
	}
	to := read(strings.NewReplacer("12000", "9000", "max_body_bytes = 1000000", "max_body_bytes = 5", `"one", `, `"three", "four", `,
		`path_prefix = "/"`, `path_prefix = "/new/"`, "max_instances = 12", "max_instances = 20", `weight = 1`, `weight = 3`).Replace(validFile))
	var got []string
	for _, c := range Diff(from, to) {
		got = append(got, c.String())
	}
	want := []string{
		"~ route a.example/chat/: timeout_ms 12000 -> 9000",
		"+ route a.example/new/: read, idempotent -> scribe:3, 2500.5 ms",
		"- route a.example/: read, idempotent -> scribe:1, 2500.5 ms",
		"~ service scribe: autoscaling 2 to 12, boot 0 s -> 2 to 20, boot 0 s",
		"~ tenant lab: api_keys 3 (1 taken away) -> 4 (2 new)",
		"~ request_limits: max_body_bytes 1000000 -> 5",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if added := Diff(nil, from); len(added) != 5 {
		t.Errorf("Diff from nil: %v", added)
	}
}
