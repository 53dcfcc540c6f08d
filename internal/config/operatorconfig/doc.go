// Package operatorconfig reads the operator's own file of `notchhinge serve` (deploy/notchhinge.toml). It has one table for each
// subsystem; a subsystem is off without its table. The package defines the format of the file, its JSON Schema and its defaults,
// and reports every error in it. The subsystems implement what the tables configure. Package platformconfig reads the platform's
// JSON file.
//
// A test generates the schema under deploy from the types (-update). The jsonschema tag of a field is the short description that
// editors and error messages show; the doc comment is the full one. Further checks cover what a schema cannot express, such as
// references between tables. Errors are of type [tomlfile.Errors] and list all errors at once, unless the file cannot be read.
package operatorconfig
