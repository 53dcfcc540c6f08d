package configfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"notchhinge/internal/config/tomlfile"
	"notchhinge/internal/control/fleetconfig"
)

// errUnresolved means that the variable or the file of a reference does not exist on this machine.
var errUnresolved = errors.New("does not exist on this machine")

// resolveKeys replaces references to API keys by the keys. References that cannot be resolved remain and are listed in
// UnresolvedKeys, so that a file can be checked on a machine that does not have its keys.
func (f *File) resolveKeys(source *tomlfile.Source, getenv func(string) string) (errs tomlfile.Errors) {
	for i := range f.Tenants {
		keys := f.Tenants[i].APIKeys
		for k, key := range keys {
			resolved, err := resolveKey(key, filepath.Dir(f.Path), getenv)
			switch {
			case errors.Is(err, errUnresolved):
				f.UnresolvedKeys = append(f.UnresolvedKeys, key)
			case err != nil:
				errs = append(errs, source.Errorf([]string{"tenants", strconv.Itoa(i), "api_keys"}, "%v", err))
			default:
				keys[k] = resolved
			}
		}
	}
	return errs
}

// resolveKey returns the key that env:NAME or file:PATH refers to; a relative path starts from dir. Any other key is returned
// unchanged. The error is errUnresolved if the variable is empty or the file does not exist.
func resolveKey(key, dir string, getenv func(string) string) (string, error) {
	if name, ok := strings.CutPrefix(key, "env:"); ok {
		if v := getenv(name); v != "" {
			return v, nil
		}
		return "", errUnresolved
	}
	path, ok := strings.CutPrefix(key, "file:")
	if !ok {
		return key, nil
	}
	if !filepath.IsAbs(path) {
		path = filepath.Join(dir, path)
	}
	content, err := os.ReadFile(path)
	content = bytes.TrimSpace(content)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return "", errUnresolved
	case err != nil:
		return "", err
	case len(content) == 0:
		return "", fmt.Errorf("%s is empty", path)
	}
	return string(content), nil
}

// Redact returns a copy of a configuration in which each tenant's API keys are replaced by the number of its keys.
func Redact(c *fleetconfig.Config) *fleetconfig.Config {
	redacted := *c
	redacted.Tenants = nil
	for _, t := range c.Tenants {
		t.APIKeys = []string{fmt.Sprintf("(%d keys)", len(t.APIKeys))}
		redacted.Tenants = append(redacted.Tenants, t)
	}
	return &redacted
}
