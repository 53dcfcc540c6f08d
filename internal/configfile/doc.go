// Package configfile reads and checks the fleet configurations that operators keep in files, and lists the differences between two
// configurations. It contacts no fleet and prints no API key.
//
// A file is TOML, or CBOR as the API of the fleet accepts it. TOML is checked against the JSON Schema in package deploy, which a test
// of this package generates from the types of package fleetconfig. If the schema finds no error, the references to API keys are
// resolved and [fleetconfig.Config.Validate] is called. Each error has its line. A file may omit the revision: the file is checked as
// if it had one, and the caller sets the revision before it submits the configuration.
//
// Errors in the content of a file are [tomlfile.Errors]; other errors are those of reading the file.
package configfile
