package configfile

import (
	"errors"
	"os"
	"path/filepath"
	"strings"

	"notchhinge/internal/config/tomlfile"

	"github.com/pelletier/go-toml/v2"

	"notchhinge/deploy"
	"notchhinge/internal/control/fleetconfig"
)

// File is a configuration that was read from a file.
type File struct {
	*fleetconfig.Config
	Path           string
	HasRevision    bool     // the file gives the revision; otherwise Revision is 0
	UnresolvedKeys []string // references to API keys that are not on this machine, as env:NAME; the configuration still has them
}

// Load reads and checks a file: CBOR if its name ends in .cbor or it begins as a CBOR map, otherwise TOML. API keys that are
// references to the environment, which getenv reads, or to files are replaced by what they refer to.
func Load(path string, getenv func(string) string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path, getenv)
}

// Parse is Load for a text that is already in memory. Path appears in errors, and relative paths in the text start from its
// directory.
func Parse(text []byte, path string, getenv func(string) string) (*File, error) {
	if filepath.Ext(path) == ".cbor" || beginsAsCBORMap(text) {
		return parseCBOR(text, path)
	}
	return parseTOML(text, path, getenv)
}

// beginsAsCBORMap reports whether the first byte is a CBOR map's (RFC 8949, major type 5). No TOML begins with one.
func beginsAsCBORMap(text []byte) bool {
	return len(text) > 0 && text[0] >= 0xa0 && text[0] <= 0xbf
}

func parseCBOR(text []byte, path string) (*File, error) {
	c, _, err := fleetconfig.DecodeWithDigest(text)
	if err == nil {
		err = c.Validate()
	}
	if err != nil {
		return nil, fileErrors(nil, path, err)
	}
	return &File{Config: c, Path: path, HasRevision: true}, nil
}

func parseTOML(text []byte, path string, getenv func(string) string) (*File, error) {
	source, errs, err := tomlfile.Check(text, path, deploy.ConfigurationSchema)
	if err != nil {
		return nil, err
	}
	if len(errs) > 0 {
		return nil, errs.Sorted()
	}
	f := &File{Config: &fleetconfig.Config{}, Path: path}
	if err := toml.Unmarshal(text, f.Config); err != nil {
		return nil, tomlfile.Errors{{File: path, Message: err.Error()}}
	}
	f.HasRevision = f.Revision > 0
	errs = f.resolveKeys(source, getenv)
	checked := *f.Config
	checked.Revision = max(checked.Revision, 1) // whoever submits the file fills it in
	errs = append(errs, fileErrors(source, path, checked.Validate())...)
	if len(errs) > 0 {
		return nil, errs.Sorted()
	}
	return f, nil
}

// fileErrors makes what is wrong with a configuration errors of its file, in the order of lines. Source is nil where the
// file has no lines.
func fileErrors(source *tomlfile.Source, path string, err error) tomlfile.Errors {
	var fields fleetconfig.FieldErrors
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &fields):
		return tomlfile.Errors{{File: path, Message: err.Error()}}
	}
	var errs tomlfile.Errors
	for _, e := range fields {
		f := tomlfile.Error{File: path, Key: strings.TrimSuffix(e.String(), ": "+e.Message), Message: e.Message}
		if source != nil {
			f = source.Errorf(e.Path, "%s", e.Message)
			if e.Owner != "" {
				f.Key += " (" + e.Owner + ")"
			}
		}
		errs = append(errs, f)
	}
	return errs.Sorted()
}
