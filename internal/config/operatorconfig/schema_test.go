package operatorconfig

import (
	"bytes"
	"cmp"
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"testing"

	"github.com/invopop/jsonschema"

	"notchhinge/deploy"
	"notchhinge/internal/config/tomlfile"
)

var update = flag.Bool("update", false, "rewrite deploy/notchhinge.schema.json")

// generateSchema generates the schema from the Go types.
func generateSchema(t *testing.T) []byte {
	t.Helper()
	// The published names under $defs do not change, because schemas of users may refer to them.
	publishedNames := map[string]string{"TraceFile": "Sink", "Selection": "Select"}
	r := jsonschema.Reflector{
		FieldNameTag: "toml", RequiredFromJSONSchemaTags: true, ExpandedStruct: true, Anonymous: true,
		Namer: func(t reflect.Type) string { return cmp.Or(publishedNames[t.Name()], t.Name()) },
		Mapper: func(fieldType reflect.Type) *jsonschema.Schema {
			if fieldType == reflect.TypeFor[tomlfile.Duration]() {
				return &jsonschema.Schema{Type: "string"}
			}
			return nil
		},
	}
	s := r.Reflect(&File{})
	s.ID, s.Title = "", "notchhinge.toml"
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

func TestSchemaMatchesTheTypes(t *testing.T) {
	text := generateSchema(t)
	if *update {
		if err := os.WriteFile("../../../deploy/notchhinge.schema.json", text, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if !bytes.Equal(text, deploy.Schema) {
		t.Error("deploy/notchhinge.schema.json does not match the types: run go test ./internal/config/operatorconfig -run Schema -update")
	}
}
