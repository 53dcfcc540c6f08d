package platformconfig

import (
	"fmt"
	"net"

	"notchhinge/internal/batch"
	"notchhinge/internal/config/operatorconfig"
)

// LoadOperatorFile reads the operator's file. It also returns the configuration of the batch service, or nil if the file has
// none. Errors that the file's own checks find are of type tomlfile.Errors.
func (c *Config) LoadOperatorFile(path string, getenv func(string) string) (*operatorconfig.File, *batch.Config, error) {
	var classes []string
	for i := range c.Settings.Classes {
		classes = append(classes, c.Settings.Classes[i].Name)
	}
	f, err := operatorconfig.Load(path, classes)
	if err != nil || f.Batch == nil {
		return f, nil, err
	}
	config := &batch.Config{Listen: f.Batch.Listen, Spool: f.Batch.Spool}
	for _, contract := range f.Contracts {
		config.Contracts = append(config.Contracts, batch.Contract{
			Team: contract.Team, KeyEnv: contract.KeyEnv, Service: contract.Service, Classes: contract.Classes,
			MaxItems: contract.MaxItems, MaxConcurrent: contract.MaxConcurrent,
			BudgetTokens: contract.BudgetTokens, BudgetPeriod: batch.Period(contract.BudgetPeriod),
			ItemDeadline: batch.Period(contract.ItemDeadline), OpenAPI: contract.OpenAPI,
		})
	}
	// The classes were checked by operatorconfig.Load. If the file has pools, package reconcile checks them.
	if err := config.Validate(nil, getenv); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, config, nil
}

// LoadBatchFile reads the deprecated file of the batch service. The service may listen only on a loopback address.
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
