package operatorconfig

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"notchhinge/deploy"
	"notchhinge/internal/config/tomlfile"
)

// Load reads and checks a file. It resolves relative paths in it against the file's directory. If the file has no pools, contracts
// may name only the given request classes; nil = any.
func Load(path string, classes []string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path, classes)
}

// Parse is Load for a file whose text is already in memory.
func Parse(text []byte, path string, classes []string) (*File, error) {
	source, errs, err := tomlfile.Check(text, path, deploy.Schema)
	if err != nil {
		return nil, err
	}
	if len(errs) > 0 {
		return nil, errs.Sorted()
	}
	f := &File{Source: *source}
	if err := toml.Unmarshal(text, f); err != nil { // for example an invalid duration, which the schema does not check
		var decodeErr *toml.DecodeError
		if !errors.As(err, &decodeErr) {
			return nil, tomlfile.Errors{{File: path, Message: err.Error()}}
		}
		return nil, tomlfile.Errors{f.Errorf(decodeErr.Key(), "%s; expected: a duration such as \"20ms\" or \"1h30m\"", decodeErr.Error())}
	}
	f.setDefaults()
	if errs := f.validate(classes); len(errs) > 0 {
		return nil, errs.Sorted()
	}
	f.resolvePaths(filepath.Dir(path))
	return f, nil
}

// resolvePaths resolves relative paths against a directory.
func (f *File) resolvePaths(dir string) {
	resolve := func(path *string) {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
	if f.Trace != nil && f.Trace.File != nil {
		resolve(&f.Trace.File.Path)
	}
	if f.Batch != nil {
		resolve(&f.Batch.Spool)
	}
	for i := range f.Contracts {
		resolve(&f.Contracts[i].OpenAPI)
	}
	for i := range f.Pools {
		resolve(&f.Pools[i].SettingsPath)
	}
	if f.Control != nil {
		resolve(&f.Control.SocketPath)
	}
}
