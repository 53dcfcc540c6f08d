package nodeconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
)

// EnvVar is the environment variable that holds the path of the settings file.
const EnvVar = "NOTCHHINGE_BOOT"

// FieldErrors lists all errors of a settings file, sorted by key.
type FieldErrors []error

// Error returns one line for each error.
func (f FieldErrors) Error() string {
	lines := make([]string, 0, len(f))
	for _, err := range f {
		lines = append(lines, err.Error())
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. If the file can be read but is invalid, the error is FieldErrors.
func Load(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New(EnvVar + " is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	c, err := Parse(text)
	if fieldErrs, ok := errors.AsType[FieldErrors](err); ok {
		for i := range fieldErrs {
			fieldErrs[i] = fmt.Errorf("%s: %w", path, fieldErrs[i])
		}
	}
	return c, err
}

// Parse decodes settings, sets defaults for absent keys and checks the result. The error is FieldErrors.
func Parse(text []byte) (*Config, error) {
	c := &Config{HeartbeatIntervalMS: 1500, Bounds: Bounds{
		ContactMS: 4000, DrainTimeoutMS: 3000, GracePeriodS: 6, ConfigApplyMS: 3000, LeaseMS: 3000, UsageWindowS: 5, UsageDelayS: 10,
	}}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, FieldErrors{err}
	}
	if errs := c.validate(); len(errs) > 0 {
		return nil, errs
	}
	return c, nil
}
