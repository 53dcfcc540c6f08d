package platformconfig

import (
	"fmt"
	"net"

	"notchhinge/internal/batch"
	"notchhinge/internal/config/operatorconfig"
)

// LoadOperatorFile reads the operator's file, and returns the configuration of the batch service too where the file has one.
// The error is tomlfile.Errors if the file is wrong by itself.
func (c *Config) LoadOperatorFile(path string, getenv func(string) string) (*operatorconfig.File, *batch.Config, error) {
	var classes []string
	for i := range c.Settings.Classes {
		classes = append(classes, c.Settings.Classes[i].Name)
	}
	f, err := operatorconfig.Load(path, classes)
	if err != nil || f.Batch == nil {
		return f, nil, err
	}
	b := &batch.Config{Listen: f.Batch.Listen, Spool: f.Batch.Spool}
	for _, k := range f.Contracts {
		b.Contracts = append(b.Contracts, batch.Contract{
			Team: k.Team, KeyEnv: k.KeyEnv, Service: k.Service, Classes: k.Classes, MaxItems: k.MaxItems, MaxConcurrent: k.MaxConcurrent,
			BudgetTokens: k.BudgetTokens, BudgetPeriod: batch.Period(k.BudgetPeriod),
			ItemDeadline: batch.Period(k.ItemDeadline), OpenAPI: k.OpenAPI,
		})
	}
	// Classes were checked by operatorconfig.Load, or are by package reconcile where there are pools.
	if err := b.Validate(nil, getenv); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, b, nil
}

// LoadBatchFile reads the deprecated file of the batch service, which may listen on loopback addresses only.
func (c *Config) LoadBatchFile(path string, getenv func(string) string) (*batch.Config, error) {
	classes := map[string]int{}
	for i := range c.Settings.Classes {
		classes[c.Settings.Classes[i].Name] = i
	}
	b, err := batch.Load(path, classes, getenv)
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(b.Listen)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("%s: listen: %q is not a loopback address with a port", path, b.Listen)
	}
	return b, nil
}
