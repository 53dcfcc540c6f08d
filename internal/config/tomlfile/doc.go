// Package tomlfile validates TOML files against a JSON Schema and reports every error with its line and key. It is used for the
// operator's file of a router (package operatorconfig) and for fleet configuration files (package configfile). These packages
// decode the values themselves, and report with [Source.Errorf] what a schema cannot express.
//
// Lines are counted from 1. Messages about violations of the schema come from the JSON Schema library, in English, followed by
// the schema's description of the key.
package tomlfile
