package batch

import (
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
)

// Contract holds the key, the limits and the classes of one team.
type Contract struct {
	Team          string   `toml:"team"`
	KeyEnv        string   `toml:"key_env"`       // environment variable with the team's API key
	Service       string   `toml:"-"`             // service that the items are sent to; "" = selected by route
	Classes       []string `toml:"classes"`       // classes that a batch may have; the first is the default
	MaxItems      int      `toml:"lines"`         // per file
	MaxConcurrent int      `toml:"at_once"`       // attempts in flight
	BudgetTokens  int64    `toml:"budget_tokens"` // prompt tokens and max_tokens of the jobs created in one period
	BudgetPeriod  Period   `toml:"budget_period"`
	ItemDeadline  Period   `toml:"line_deadline"` // from the first read of an item
	OpenAPI       string   `toml:"openapi"`       // path of an OpenAPI document that items must match; may be empty

	key    string
	schema *openapi3.T
}

// Period is a duration in the syntax of time.ParseDuration, such as "90s".
type Period time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Period) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*p = Period(d)
	return err
}

// validate checks the contract's values and, unless classes is nil, the names of its classes.
func (k *Contract) validate(classes map[string]int) error {
	switch {
	case !isPlainName(k.Team):
		return errors.New("team must be a name of letters, digits, - and _")
	case k.key == "":
		return fmt.Errorf("key_env: the environment variable %q holds no key", k.KeyEnv)
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

// isPlainName reports whether a name is safe as a directory name: 1 to 64 ASCII letters, digits, hyphens and underscores.
func isPlainName(name string) bool {
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_' {
			return false
		}
	}
	return name != "" && len(name) <= 64
}

// validateBody checks an item's body against the team's schema, if there is one.
func (k *Contract) validateBody(method, url string, body []byte) error {
	if k.schema == nil {
		return nil
	}
	pathItem := k.schema.Paths.Value(url)
	if pathItem == nil || pathItem.GetOperation(method) == nil {
		return fmt.Errorf("%s %s is not in %s", method, url, filepath.Base(k.OpenAPI))
	}
	op := pathItem.GetOperation(method)
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
