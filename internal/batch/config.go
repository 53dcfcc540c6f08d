package batch

import (
	"context"
	"fmt"
	"path/filepath"

	"github.com/BurntSushi/toml"
	"github.com/getkin/kin-openapi/openapi3"
)

// Config is the configuration of the batch service.
type Config struct {
	Listen    string     `toml:"listen"`
	Spool     string     `toml:"spool"` // directory of the jobs
	Contracts []Contract `toml:"contract"`
}

// Load reads and validates a configuration file. Paths in it are relative to its directory.
func Load(path string, classes map[string]int, getenv func(string) string) (*Config, error) {
	var c Config
	meta, err := toml.DecodeFile(path, &c)
	if err != nil {
		return nil, err
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return nil, fmt.Errorf("%s: %s is not a key of this file", path, extra[0])
	}
	if c.Listen == "" || c.Spool == "" || len(c.Contracts) == 0 {
		return nil, fmt.Errorf("%s: listen, spool and at least one contract are required", path)
	}
	dir := filepath.Dir(path)
	c.Spool = resolvePath(dir, c.Spool)
	for i := range c.Contracts {
		if k := &c.Contracts[i]; k.OpenAPI != "" {
			k.OpenAPI = resolvePath(dir, k.OpenAPI)
		}
	}
	if err := c.Validate(classes, getenv); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &c, nil
}

// Validate reads the contracts' keys from the environment and their schemas from disk, and checks all values. classes has the names of
// the classes that contracts may use; nil skips that check.
func (c *Config) Validate(classes map[string]int, getenv func(string) string) error {
	var err error
	teams, keys := map[string]bool{}, map[string]bool{}
	for i := range c.Contracts {
		k := &c.Contracts[i]
		k.key = getenv(k.KeyEnv)
		if err := k.validate(classes); err != nil {
			return fmt.Errorf("contract %q: %w", k.Team, err)
		}
		if teams[k.Team] || keys[k.key] {
			return fmt.Errorf("contract %q: its team or key is the same as another's", k.Team)
		}
		teams[k.Team], keys[k.key] = true, true
		if k.OpenAPI != "" {
			if k.schema, err = openapi3.NewLoader().LoadFromFile(k.OpenAPI); err != nil {
				return fmt.Errorf("contract %q: %w", k.Team, err)
			}
			if err := k.schema.Validate(context.Background()); err != nil {
				return fmt.Errorf("contract %q: %s: %w", k.Team, k.OpenAPI, err)
			}
		}
	}
	return nil
}

// MaxOpenFiles returns the largest number of files that the jobs and uploads of all teams keep open.
func (c *Config) MaxOpenFiles() int {
	n := 0
	for _, k := range c.Contracts {
		n += 2*k.MaxConcurrent + 2 // in the worst case, each item in flight belongs to a different job, which has two open files
	}
	return n
}

// resolvePath returns a path relative to dir, unless it is absolute.
func resolvePath(dir, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}
