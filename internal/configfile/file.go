package configfile

import (
	"errors"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"notchhinge/deploy"
	"notchhinge/internal/config/tomlfile"
	"notchhinge/internal/control/fleetconfig"
)

// File is a configuration that was read from a file, with its path and details that the configuration itself does not hold.
type File struct {
	*fleetconfig.Config
	Path           string
	HasRevision    bool     // whether the file sets the revision; if not, Revision is 0
	UnresolvedKeys []string // references that could not be resolved, such as env:NAME; they remain in the API keys of the configuration
}

// Load reads and checks a file. It is CBOR if its name ends in .cbor or its content begins with a CBOR map, otherwise TOML.
// References to API keys in environment variables, which getenv reads, or in files are replaced by the keys.
func Load(path string, getenv func(string) string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path, getenv)
}

// Parse is like Load for content that is already in memory. Path appears in errors, and relative paths in the content start from
// its directory.
func Parse(text []byte, path string, getenv func(string) string) (*File, error) {
	if filepath.Ext(path) == ".cbor" || beginsWithCBORMap(text) {
		return parseCBOR(text, path)
	}
	return parseTOML(text, path, getenv)
}

// beginsWithCBORMap reports whether the first byte is that of a CBOR map (RFC 8949, major type 5). TOML cannot begin with such a
// byte: in UTF-8 it is a continuation byte.
func beginsWithCBORMap(text []byte) bool {
	return len(text) > 0 && text[0] >= 0xa0 && text[0] <= 0xbf
}

func parseCBOR(text []byte, path string) (*File, error) {
	c, _, err := fleetconfig.DecodeWithDigest(text)
	if err == nil {
		err = c.Validate()
	}
	if err == nil {
		err = fleetconfig.CheckRequiredFields(text)
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
	toValidate := *f.Config
	toValidate.Revision = max(toValidate.Revision, 1) // the caller sets a revision that the file omits
	errs = append(errs, fileErrors(source, path, toValidate.Validate())...)
	if len(errs) > 0 {
		return nil, errs.Sorted()
	}
	return f, nil
}

// fileErrors converts an error of a configuration to errors of its file, sorted by line. Source is nil if the file has no lines.
func fileErrors(source *tomlfile.Source, path string, err error) tomlfile.Errors {
	var fieldErrs fleetconfig.FieldErrors
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &fieldErrs):
		return tomlfile.Errors{{File: path, Message: err.Error()}}
	}
	var errs tomlfile.Errors
	for _, e := range fieldErrs {
		fileErr := tomlfile.Error{File: path, Key: strings.TrimSuffix(e.String(), ": "+e.Message), Message: e.Message}
		if source != nil {
			fileErr = source.Errorf(e.Path, "%s", e.Message)
			if e.Owner != "" {
				fileErr.Key += " (" + e.Owner + ")"
			}
		}
		errs = append(errs, fileErr)
	}
	return errs.Sorted()
}
