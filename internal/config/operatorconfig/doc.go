// Package operatorconfig reads the operator's own file of `notchhinge serve` (deploy/notchhinge.toml): one table for each
// subsystem, which is off without its table. The package owns the form of the file, its JSON Schema, its defaults, and the
// report of everything that is wrong with it; what a table does is decided by its subsystem. The platform's JSON is read by
// package platformconfig.
//
// The schema under deploy is generated from the types by a test (-update): jsonschema tags are the short form of a key's
// manual in editors and in error messages, doc comments the long one. A further check covers what no schema can express, such
// as references between tables. Errors are [tomlfile.Errors], all at once, or those of reading the file.
package operatorconfig
