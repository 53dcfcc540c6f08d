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

// errUnresolved says that the variable or the file of a reference does not exist here.
var errUnresolved = errors.New("not on this machine")

// resolveKeys replaces references to API keys by the keys. References that cannot be resolved here stay as they are and are
// listed in UnresolvedKeys: a file can be checked on a machine that does not have its keys.
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

// resolveKey returns what env:NAME or file:PATH refers to; a relative path starts from dir. Any other key is returned as it
// is. A variable that is empty and a file that does not exist are errUnresolved.
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

// Redact returns a copy of a configuration in which each tenant's API keys are replaced by their number.
func Redact(c *fleetconfig.Config) *fleetconfig.Config {
	out := *c
	out.Tenants = nil
	for _, t := range c.Tenants {
		t.APIKeys = []string{fmt.Sprintf("(%d keys)", len(t.APIKeys))}
		out.Tenants = append(out.Tenants, t)
	}
	return &out
}
