// Package batch is the second front: teams upload files of requests and fetch one outcome a line. What it
// sends goes through the same broker as the platform's front.
package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/getkin/kin-openapi/openapi3"
)

// Contract is what a team may do.
type Contract struct {
	Team          string   `toml:"team"`
	KeyEnv        string   `toml:"key_env"`       // the environment variable that holds the team's key
	Service       string   `toml:"-"`             // that its lines go to; "" = by their route
	Classes       []string `toml:"classes"`       // the first is taken where a batch names none
	MaxItems      int      `toml:"lines"`         // in one file
	MaxConcurrent int      `toml:"at_once"`       // authorisations
	BudgetTokens  int64    `toml:"budget_tokens"` // of prompts and most answers, in one period
	BudgetPeriod  Period   `toml:"budget_period"`
	ItemDeadline  Period   `toml:"line_deadline"` // from a line's first try
	OpenAPI       string   `toml:"openapi"`       // a file that lines must meet; may be empty

	key    string
	schema *openapi3.T
}

// Period is a time as the file writes it, such as "90s".
type Period time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Period) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*p = Period(d)
	return err
}

// Config is the file of the front.
type Config struct {
	Listen    string     `toml:"listen"`
	Spool     string     `toml:"spool"` // folder of the jobs
	Contracts []Contract `toml:"contract"`
}

// Load reads and checks the front's file. Paths in it start from its folder.
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
		return nil, fmt.Errorf("%s: listen, spool and one contract at least are needed", path)
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

// Validate takes the contracts' keys from the environment, reads their descriptions, and says what is wrong. classes are
// those that contracts may name; nil where they are checked elsewhere.
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
			return fmt.Errorf("contract %q: its team or its key is another's too", k.Team)
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

// MaxOpenFiles tells how many files the lines of all teams may keep open, uploads included.
func (c *Config) MaxOpenFiles() int {
	n := 0
	for _, k := range c.Contracts {
		n += 2*k.MaxConcurrent + 2 // at the most each line that is out is of another job
	}
	return n
}

func resolvePath(dir, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}

func (k *Contract) validate(classes map[string]int) error {
	switch {
	case !isPlainName(k.Team):
		return errors.New("team must be a name of letters, digits, - and _")
	case k.key == "":
		return fmt.Errorf("the variable that key_env names (%q) holds no key", k.KeyEnv)
	case len(k.Classes) == 0:
		return errors.New("classes must not be empty")
	case k.MaxItems < 1 || k.MaxConcurrent < 1 || k.BudgetTokens < 1 || k.BudgetPeriod <= 0 || k.ItemDeadline <= 0:
		return errors.New("lines, at_once, budget_tokens, budget_period and line_deadline must be above 0")
	}
	for _, name := range k.Classes {
		if classes == nil {
			break
		}
		if _, ok := classes[name]; !ok {
			return fmt.Errorf("class %q is unknown to the settings", name)
		}
	}
	return nil
}

// isPlainName tells whether a name can be a folder's.
func isPlainName(name string) bool {
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_' {
			return false
		}
	}
	return name != "" && len(name) <= 64
}

// validateBody says why a line's body does not meet the team's own description, if it has one.
func (k *Contract) validateBody(method, url string, body []byte) error {
	if k.schema == nil {
		return nil
	}
	item := k.schema.Paths.Value(url)
	if item == nil || item.GetOperation(method) == nil {
		return fmt.Errorf("%s %s is not in %s", method, url, filepath.Base(k.OpenAPI))
	}
	op := item.GetOperation(method)
	if op.RequestBody == nil || op.RequestBody.Value == nil {
		return nil
	}
	media := op.RequestBody.Value.Content.Get("application/json")
	if media == nil || media.Schema == nil {
		return nil
	}
	var v any
	if err := json.Unmarshal(body, &v); err != nil {
		return err
	}
	return media.Schema.Value.VisitJSON(v)
}
