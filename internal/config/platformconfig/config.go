// Package platformconfig reads what a router is told at its start: the environment, the platform's JSON and, where
// the second front is wanted, its own file.
package platformconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"notchhinge/internal/batch"
	"notchhinge/internal/limits"
	"notchhinge/internal/listwatch"
	"notchhinge/internal/settings"
	"notchhinge/internal/wire"
	"notchhinge/policy"
)

// Config is a checked configuration.
type Config struct {
	RouterName       string
	ListenAddr       string
	DiscoveryAddr    string
	AdminAddr        string // where operators call; "" = nowhere
	SharedDir        string // folder that a successor shares; "" = there is none, and nobody succeeds
	Seed             uint64
	InitialEndpoints listwatch.List
	Module
	Limits limits.Limits
}

// Module is what the platform's settings say for one decision module.
type Module struct {
	Settings               policy.Settings
	LoadReportColumns      []string        // names of the values of a load report on the wire, as the settings give them
	ZoneNames              []string        // names of the zones, by their numbers
	LoadReportsInResponses bool            // any answer may carry a load report
	TokenLatencyTargets    []time.Duration // by class: time wanted between tokens, on average; may be short of classes
}

// LoadModule reads a file with the settings of one more module, in the form that they have in the platform's JSON.
func LoadModule(path string, seed uint64) (Module, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Module{}, err
	}
	m, _, err := parseModule(text, seed)
	if err != nil {
		return Module{}, fmt.Errorf("%s: %w", path, err)
	}
	return m, nil
}

func parseModule(text []byte, seed uint64) (m Module, r rest, err error) {
	if m.Settings, err = wire.ParseSettings(text); err != nil {
		return m, r, err
	}
	if _, err := policy.New(m.Settings, seed); err != nil { // the module checks its settings itself
		return m, r, err
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return m, r, fmt.Errorf("settings: %w", err)
	}
	for _, us := range r.FamilyInfo.TokenAim {
		m.TokenLatencyTargets = append(m.TokenLatencyTargets, micros(us))
	}
	m.LoadReportColumns, m.ZoneNames, m.LoadReportsInResponses = r.Report.Columns, r.AZs, r.Report.How == "piggyback"
	return m, r, nil
}

// file mirrors the platform's JSON.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Admin     string `json:"admin"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    listwatch.List  `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// rest mirrors those settings that the decision module has no use for; the adapter's parser reads the others.
type rest struct {
	AZs    []string `json:"azs"`
	Limits struct {
		ConnectTimeout float64 `json:"connectTimeout"`
		IdleClose      float64 `json:"idleClose"`
		MaxOpen        int     `json:"maxOpen"`
	} `json:"limits"`
	Report struct {
		Columns []string `json:"columns"`
		How     string   `json:"how"`
	} `json:"report"`
	FamilyInfo struct {
		TokenAim []float64 `json:"tokenAim"`
	} `json:"familyInfo"`
}

// Reload reads the file again. It may have been replaced since the start, which is what the variable for
// discovery's address describes: the address in the file prevails.
func Reload(getenv func(string) string) (*Config, error) {
	return Load(func(name string) string {
		if name == "BALANCER_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// Load reads the file that BALANCER_CONFIG names; the other variables override what it says.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := parse(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.SharedDir = getenv("TMPDIR")
	return c, nil
}

// override puts what the environment says in the place of what the file does.
func (f *file) override(getenv func(string) string) {
	for name, to := range map[string]*string{
		"BALANCER_NAME": &f.Name, "BALANCER_LISTEN": &f.Listen, "BALANCER_DISCOVERY": &f.Discovery,
		"BALANCER_ADMIN": &f.Admin,
	} {
		if v := getenv(name); v != "" {
			*to = v
		}
	}
}

// check returns the seed, or the first fault of an address, the seed or the machine's limits.
func (f *file) check() (seed uint64, err error) {
	for name, addr := range map[string]string{"listen": f.Listen, "discovery": f.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return 0, fmt.Errorf("%s: %w", name, err)
		}
	}
	if f.Admin != "" {
		if err := address(f.Admin); err != nil {
			return 0, fmt.Errorf("admin: %w", err)
		}
	}
	seed, err = strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: %w", err)
	}
	if !(f.Limits.Cores > 0 && f.Limits.Cores <= 1024) || f.Limits.MemoryMB < 16 || f.Limits.Sockets < 64 {
		return 0, fmt.Errorf("limits: cores %v, memory_mb %d, sockets %d: above 0, 16 or more and 64 or more wanted",
			f.Limits.Cores, f.Limits.MemoryMB, f.Limits.Sockets)
	}
	return seed, nil
}

func parse(text []byte, getenv func(string) string) (*Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	f.override(getenv)
	seed, err := f.check()
	if err != nil {
		return nil, err
	}
	m, r, err := parseModule(f.Settings, seed)
	if err != nil {
		return nil, err
	}
	if _, err := f.Known.DispatchHosts(r.AZs); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	var longest time.Duration
	for _, g := range m.Settings.Classes {
		longest = max(longest, g.Deadline)
	}
	if r.Limits.IdleClose <= 0 {
		return nil, errors.New("settings: limits.idleClose must be above 0")
	}
	c := &Config{
		RouterName: f.Name, ListenAddr: f.Listen, DiscoveryAddr: f.Discovery, AdminAddr: f.Admin, Seed: seed, InitialEndpoints: f.Known, Module: m,
		Limits: limits.New(
			limits.Machine{Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets},
			limits.Site{
				ConnectTimeout: micros(r.Limits.ConnectTimeout), UpstreamIdleClose: micros(r.Limits.IdleClose),
				MaxConcurrentRequests: r.Limits.MaxOpen, MaxAttempts: m.Settings.Limits.MaxAttempts, MaxDeadline: longest,
			}),
	}
	if c.AdminAddr != "" {
		c.Limits = c.Limits.WithAdmin()
	}
	return c, nil
}

// address checks a host and a port from 1 to 65535.
func address(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return fmt.Errorf("%q is no host with a port from 1 to 65535", addr)
	}
	return nil
}

// LoadOperatorFile reads the operator's own file. The error is settings.Faults where the file is at fault.
func (c *Config) LoadOperatorFile(path string, getenv func(string) string) (*settings.File, *batch.Config, error) {
	var names []string
	for _, k := range c.Settings.Classes {
		names = append(names, k.Name)
	}
	f, err := settings.Load(path, names)
	if err != nil || f.Batch == nil {
		return f, nil, err
	}
	b := &batch.Config{Listen: f.Batch.Listen, Spool: f.Batch.Spool}
	for _, k := range f.Contracts {
		b.Contracts = append(b.Contracts, batch.Contract{
			Team: k.Team, KeyEnv: k.KeyEnv, Service: k.Service, Classes: k.Classes, Lines: k.Lines, AtOnce: k.AtOnce,
			BudgetTokens: k.BudgetTokens, BudgetPeriod: batch.Period(k.BudgetPeriod),
			LineDeadline: batch.Period(k.LineDeadline), OpenAPI: k.OpenAPI,
		})
	}
	if err := b.Check(nil, getenv); err != nil { // the classes are the settings' to check, or the plan's where there are pools
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, b, nil
}

// LoadBatchFile reads the file of the batch front. It listens on loopback only.
func (c *Config) LoadBatchFile(path string, getenv func(string) string) (*batch.Config, error) {
	classes := map[string]int{}
	for i, k := range c.Settings.Classes {
		classes[k.Name] = i
	}
	b, err := batch.Load(path, classes, getenv)
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(b.Listen)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("%s: listen: %q is no loopback address with a port", path, b.Listen)
	}
	return b, nil
}

func micros(us float64) time.Duration { return time.Duration(us * float64(time.Microsecond)) }
