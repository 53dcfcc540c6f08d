// Package fleetconfig owns a fleet configuration as the operator submits it: its bounded decoding, its validation and its
// digest. It knows nothing of how a configuration is agreed upon or distributed, and does no I/O.
//
// The source of truth is the CBOR text as submitted: it is stored and passed on byte by byte, so that fields which this
// program does not know survive. [Decode] reads the fields that it knows, [DecodeWithDigest] also computes the digest that
// identifies a configuration by its meaning, and [Config.Validate] checks it. Decoding never returns a Config that has been
// validated: a file that leaves the revision to the tool is validated only after one was filled in.
//
// The same types are the schema of configuration files in TOML (package configfile); their doc comments are the manual of
// each key, and the jsonschema tags its short form in editors and error messages.
package fleetconfig
