package tomlfile

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const testSchema = `{"type": "object", "additionalProperties": false, "properties": {
 "size": {"type": "integer", "description": "number of entries"},
 "entry": {"type": "array", "items": {"$ref": "#/$defs/Entry"}}},
 "$defs": {"Entry": {"type": "object", "additionalProperties": false, "properties": {
  "name": {"type": "string", "description": "name of the entry"}, "part": {"$ref": "#/$defs/Entry"}}}}}`

func TestCheckReportsEveryErrorWithItsLine(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"valid":        {"size = 1\n[[entry]]\nname = \"a\"\n[entry.part]\nname = \"b\"\n", nil},
		"unknown keys": {"sise = 1\n[[entry]]\nnam = 1\n", []string{"f:1: sise: unknown key", "f:3: entry[0].nam: unknown key"}},
		"type": {
			"size = \"x\"\n", []string{"f:1: size: got string, want integer; expected: number of entries"},
		},
		"table within the second table of an array": {
			"[[entry]]\n[entry.part]\n[[entry]]\n[entry.part]\nname = 1\n",
			[]string{"f:5: entry[1].part.name: got number, want string; expected: name of the entry"},
		},
		"inline tables": {
			"entry = [{name = \"a\"},\n {part = {\n  name = 1}}]\n",
			[]string{"f:3: entry[1].part.name: got number, want string; expected: name of the entry"},
		},
		"syntax":        {"size = 1\n[entry\n", []string{"f:2: expected ']' to close table name"}},
		"duplicate key": {"size = 1\nsize = 2\n", []string{"f:2: toml: key size is already defined"}},
	} {
		_, errs, err := Check([]byte(c.text), "f", []byte(testSchema))
		if err != nil && !errors.As(err, &errs) {
			t.Errorf("%s: %v", name, err)
			continue
		}
		var got []string
		for _, e := range errs.Sorted() {
			got = append(got, e.Error())
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

func TestErrorfFallsBackToTheTableOfAnAbsentKey(t *testing.T) {
	s, _, err := Check([]byte("size = 1\n\n[[entry]]\nname = \"a\"\n"), "f", []byte(testSchema))
	if err != nil {
		t.Fatal(err)
	}
	for want, key := range map[string][]string{
		"f:4: entry[0].name: x":      {"entry", "0", "name"},
		"f:3: entry[0].part.name: x": {"entry", "0", "part", "name"},
		"f: other: x":                {"other"},
	} {
		if got := s.Errorf(key, "%s", "x").Error(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

func TestBrokenSchemaIsNotAnErrorOfTheFile(t *testing.T) {
	_, _, err := Check([]byte("size = 1\n"), "f", []byte("{"))
	if errs := (Errors{}); err == nil || errors.As(err, &errs) {
		t.Errorf("got %v, want an error that is not of type Errors", err)
	}
}

func TestDurationTextEncoding(t *testing.T) {
	var d Duration
	if err := d.UnmarshalText([]byte("1h30m")); err != nil || time.Duration(d) != 90*time.Minute {
		t.Errorf("got %v, %v; want 1h30m", d, err)
	}
	if text, err := d.MarshalText(); err != nil || string(text) != "1h30m0s" {
		t.Errorf("got %s, %v; want 1h30m0s", text, err)
	}
	if err := d.UnmarshalText([]byte("soon")); err == nil {
		t.Error("\"soon\" is accepted as a duration")
	}
}
