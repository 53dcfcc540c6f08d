// Package fleetconfig defines the fleet configuration that an operator submits: decoding with bounds, validation and the digest.
// It does no I/O. Agreement on a configuration and its distribution are implemented elsewhere.
//
// The submitted CBOR text is authoritative: it is stored and forwarded byte for byte, so that fields unknown to this program are
// preserved. [Decode] reads the known fields, [DecodeWithDigest] also computes the digest that identifies a configuration by its
// meaning, and [Config.Validate] checks a decoded configuration. Decoding does not validate, because a file may omit the revision,
// which the tool sets before validation.
//
// The same types define the schema of configuration files in TOML (package configfile). Their doc comments document each key in
// full; the jsonschema tags are the short descriptions in editors and error messages.
package fleetconfig
