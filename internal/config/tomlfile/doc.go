// Package tomlfile checks TOML files against a JSON Schema and reports everything that is wrong with them, each error with its
// line and its key. It is shared by the operator's file of a router (package operatorconfig) and by fleet configuration files
// (package configfile), which decode the values themselves and report what a schema cannot express with [Source.Errorf].
//
// Lines are counted from 1. Messages of the schema are those of the JSON Schema library, in English, followed by the
// description that the schema gives of the key.
package tomlfile
