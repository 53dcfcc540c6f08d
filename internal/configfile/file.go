// Package configfile owns configurations of the fleet as users keep them in version control: TOML files, checked by a JSON
// Schema that is made from the types, and what changes from one to another. It asks no fleet and prints no key of a tenant.
// Its errors are settings.Faults (what is wrong with a file, with lines) or those of reading.
package configfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pelletier/go-toml/v2"

	"notchhinge/deploy"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/settings"
)

// File is a configuration from a file.
type File struct {
	*fleetconfig.Config
	Path           string
	HasRevision    bool     // the file says a revision itself
	UnresolvedKeys []string // keys kept elsewhere that could not be read, as env:NAME
}

// Load reads and checks a file: TOML, or CBOR where its name ends in .cbor. Keys that are kept elsewhere are read if they
// are there; getenv is the environment.
func Load(path string, getenv func(string) string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path, getenv)
}

// Parse is Read on a text that is already read.
func Parse(text []byte, path string, getenv func(string) string) (*File, error) {
	f := &File{Config: &fleetconfig.Config{}, Path: path}
	if filepath.Ext(path) == ".cbor" || len(text) > 0 && text[0] >= 0xa0 && text[0] <= 0xbf { // a map, which begins no TOML
		c, _, err := fleetconfig.DecodeWithDigest(text)
		if err == nil {
			err = c.Validate()
		}
		f.Config, f.HasRevision = c, true
		return f, lines(nil, path, err)
	}
	from, faults, err := settings.Read(text, path, deploy.ConfigurationSchema)
	if err != nil {
		return nil, err
	}
	if len(faults) > 0 {
		return nil, faults.Sorted()
	}
	if err := toml.Unmarshal(text, f.Config); err != nil {
		return nil, settings.Faults{{File: path, Says: err.Error()}}
	}
	f.HasRevision = f.Revision > 0
	for i := range f.Tenants {
		for k, key := range f.Tenants[i].APIKeys {
			got, err := elsewhere(key, filepath.Dir(path), getenv)
			switch {
			case errors.Is(err, errUnread):
				f.UnresolvedKeys = append(f.UnresolvedKeys, key)
			case err != nil:
				faults = append(faults, from.Fault([]string{"tenants", fmt.Sprint(i), "api_keys"}, "%v", err))
			default:
				f.Tenants[i].APIKeys[k] = got
			}
		}
	}
	checked := *f.Config
	checked.Revision = max(checked.Revision, 1) // the next one, which is not known here
	if err := lines(from, path, checked.Validate()); err != nil {
		var more settings.Faults
		if !errors.As(err, &more) {
			return nil, err
		}
		faults = append(faults, more...)
	}
	if len(faults) > 0 {
		return nil, faults.Sorted()
	}
	return f, nil
}

var errUnread = errors.New("not there")

// elsewhere reads a key that is kept elsewhere; any other is returned as it is.
func elsewhere(key, dir string, getenv func(string) string) (string, error) {
	if name, ok := strings.CutPrefix(key, "env:"); ok {
		if v := getenv(name); v != "" {
			return v, nil
		}
		return "", errUnread
	}
	path, ok := strings.CutPrefix(key, "file:")
	if !ok {
		return key, nil
	}
	if !filepath.IsAbs(path) {
		path = filepath.Join(dir, path)
	}
	b, err := os.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return "", errUnread
	case err != nil:
		return "", err
	case len(bytes.TrimSpace(b)) == 0:
		return "", fmt.Errorf("%s is empty", path)
	}
	return string(bytes.TrimSpace(b)), nil
}

// lines makes faults of a configuration faults of a file.
func lines(from *settings.Source, path string, err error) error {
	var faults fleetconfig.FieldErrors
	if !errors.As(err, &faults) {
		if err != nil {
			return settings.Faults{{File: path, Says: err.Error()}}
		}
		return nil
	}
	var all settings.Faults
	for _, x := range faults {
		f := settings.Fault{File: path, Key: strings.TrimSuffix(x.String(), ": "+x.Message), Says: x.Message}
		if from != nil {
			f = from.Fault(x.Path, "%s", x.Message)
			if x.Owner != "" {
				f.Key += " (" + x.Owner + ")"
			}
		}
		all = append(all, f)
	}
	return all.Sorted()
}

// Encode writes a configuration as the wire has it. The same configuration has the same bytes every time.
func Encode(c *fleetconfig.Config) ([]byte, error) {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(c)
}

// Redact is a copy of a configuration without its keys.
func Redact(c *fleetconfig.Config) *fleetconfig.Config {
	out := *c
	out.Tenants = nil
	for _, t := range c.Tenants {
		t.APIKeys = []string{fmt.Sprintf("(%d keys)", len(t.APIKeys))}
		out.Tenants = append(out.Tenants, t)
	}
	return &out
}
