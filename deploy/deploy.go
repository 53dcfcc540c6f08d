// Package deploy holds what stands beside the operator's settings and belongs into the program.
package deploy

import _ "embed"

// Schema is the JSON Schema of notchhinge.toml. A test of internal/config/operatorconfig makes it from the Go types (-update).
//
//go:embed notchhinge.schema.json
var Schema []byte

// ConfigurationSchema is the JSON Schema of the fleet's configurations in files. A test of internal/configfile makes it from
// the Go types (-update).
//
//go:embed configuration.schema.json
var ConfigurationSchema []byte
