// Package deploy embeds the JSON Schemas of the configuration files into the program.
package deploy

import _ "embed"

// Schema is the JSON Schema of notchhinge.toml. A test of internal/config/operatorconfig generates it from the Go types (-update).
//
//go:embed notchhinge.schema.json
var Schema []byte

// ConfigurationSchema is the JSON Schema of the files that hold a configuration of the fleet. A test of internal/configfile
// generates it from the Go types (-update).
//
//go:embed configuration.schema.json
var ConfigurationSchema []byte
