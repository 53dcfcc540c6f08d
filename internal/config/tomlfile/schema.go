package tomlfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// validate returns every violation of the schema.
func (s *Source) validate(tree map[string]any, schemaText []byte) (errs Errors, err error) {
	text, err := json.Marshal(tree)
	if err != nil {
		return nil, err // a value that JSON cannot represent, such as inf
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, fmt.Errorf("the schema: %w", err)
	}
	schema, err := compile(document)
	if err != nil {
		return nil, fmt.Errorf("the schema: %w", err)
	}
	var invalid *jsonschema.ValidationError
	if err := schema.Validate(value); err != nil && !errors.As(err, &invalid) {
		return nil, err
	}
	for _, violation := range leaves(invalid) {
		errs = append(errs, s.violationErrors(violation, document)...)
	}
	return errs, nil
}

func compile(document any) (*jsonschema.Schema, error) {
	const url = "file.schema.json" // an arbitrary name; errors do not contain it
	c := jsonschema.NewCompiler()
	if err := c.AddResource(url, document); err != nil {
		return nil, err
	}
	return c.Compile(url)
}

// leaves returns the violations without a more specific cause, in order.
func leaves(e *jsonschema.ValidationError) (all []*jsonschema.ValidationError) {
	if e == nil {
		return nil
	}
	if len(e.Causes) == 0 {
		return []*jsonschema.ValidationError{e}
	}
	for _, c := range e.Causes {
		all = append(all, leaves(c)...)
	}
	return all
}

// violationErrors returns one error for a violation, or one for each key if the violation is unknown keys.
func (s *Source) violationErrors(e *jsonschema.ValidationError, document any) (errs Errors) {
	if unknown, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
		for _, name := range unknown.Properties {
			errs = append(errs, s.Errorf(append(slices.Clone(e.InstanceLocation), name), "unknown key"))
		}
		return errs
	}
	text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	if d := description(document, e.InstanceLocation); d != "" {
		text += "; expected: " + d
	}
	return Errors{s.Errorf(e.InstanceLocation, "%s", text)}
}

// description returns the schema's description of a key, "" if it has none.
func description(document any, key []string) (text string) {
	root, _ := document.(map[string]any)
	definitions, _ := root["$defs"].(map[string]any)
	schema := root
	for _, k := range key {
		schema = followRefs(schema, definitions)
		if items, ok := schema["items"].(map[string]any); ok { // k is an index
			schema = items
			continue
		}
		properties, _ := schema["properties"].(map[string]any)
		property, ok := properties[k].(map[string]any)
		if !ok {
			return ""
		}
		schema = property
		text, _ = schema["description"].(string)
	}
	return text
}

// followRefs returns the definition that a schema refers to, or the schema if it refers to none.
func followRefs(schema, definitions map[string]any) map[string]any {
	for {
		ref, _ := schema["$ref"].(string)
		definition, ok := definitions[strings.TrimPrefix(ref, "#/$defs/")].(map[string]any)
		if ref == "" || !ok {
			return schema
		}
		schema = definition
	}
}
