// Package configfile owns fleet configurations as operators keep them in version control: reading and checking a file, and
// listing what changes between two configurations. It contacts no fleet and prints no API key.
//
// A file is TOML, or CBOR as the API of the fleet takes it. TOML is checked in three steps, each of which reports everything
// that it finds with the line: against the JSON Schema of deploy (generated from the types of package fleetconfig by a test
// here), then the references to API keys, then [fleetconfig.Config.Validate]. A file may leave its revision out: it is
// checked as if it had one, and whoever submits it fills it in.
//
// Errors are tomlfile.Errors, what is wrong with a file, or those of reading it.
package configfile
