package fleetconfig

import "fmt"

// requiredText has the fields that the entries of a configuration must have, although they may be empty. In a decoded Config a missing
// field is an empty one: a route without a path_prefix would match every path.
type requiredText struct {
	Routes []struct {
		Name       string  `cbor:"name"`
		Hostname   *string `cbor:"hostname"`
		PathPrefix *string `cbor:"path_prefix"`
	} `cbor:"routes"`
	Services []namedEntry `cbor:"services"`
	Tenants  []namedEntry `cbor:"tenants"`
}

type namedEntry struct {
	Name *string `cbor:"name"`
}

// CheckRequiredFields returns the required fields that an encoded configuration lacks as FieldErrors, at most maxFieldErrors of them; nil
// means that it is complete. Validate does not see this in the decoded configuration.
func CheckRequiredFields(b []byte) error {
	var text requiredText
	if err := unmarshal(b, &text); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	v := validator{}
	for i, r := range text.Routes {
		e := entry{"routes", i}
		v.owner = r.Name
		v.present(e, "hostname", r.Hostname)
		v.present(e, "path_prefix", r.PathPrefix)
	}
	v.owner = ""
	for i, s := range text.Services {
		v.present(entry{"services", i}, "name", s.Name)
	}
	for i, t := range text.Tenants {
		v.present(entry{"tenants", i}, "name", t.Name)
	}
	if len(v.errs) > 0 {
		return v.errs
	}
	return nil
}

// present rejects a field that is missing.
func (v *validator) present(e entry, key string, value *string) {
	if value == nil {
		v.addf(e.at(key), "is missing")
	}
}
