package platformconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"notchhinge/internal/limits"
	"notchhinge/internal/listwatch"
)

// Environment variables that Load reads. envName, envListen, envDiscovery and envAdmin override keys of the file.
const (
	envConfig    = "BALANCER_CONFIG"
	envName      = "BALANCER_NAME"
	envListen    = "BALANCER_LISTEN"
	envDiscovery = "BALANCER_DISCOVERY"
	envAdmin     = "BALANCER_ADMIN"
	envSharedDir = "TMPDIR" // directory that the processes of one router share
)

// Bounds of the machine's resources. A value outside them is a configuration error.
const (
	minMemoryMB = 16
	minSockets  = 64
	maxCores    = 1024
)

// Load reads the file that BALANCER_CONFIG names and the variables that override it.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, errors.New(envConfig + " is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := parse(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.SharedDir = getenv(envSharedDir)
	return c, nil
}

// Reload is Load for a running process. It ignores BALANCER_DISCOVERY: the variable was set when the process started, and the
// file may since have been replaced by one with another address.
func Reload(getenv func(string) string) (*Config, error) {
	return Load(func(name string) string {
		if name == envDiscovery {
			return ""
		}
		return getenv(name)
	})
}

// file is the platform's JSON file.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Admin     string `json:"admin"`
	Seed      string `json:"seed"` // hexadecimal
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"` // file descriptors
	} `json:"limits"`
	Known    listwatch.List  `json:"known"` // endpoints at startup
	Settings json.RawMessage `json:"settings"`
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
	if r.Limits.IdleClose <= 0 {
		return nil, errors.New("settings: limits.idleClose must be greater than 0")
	}
	return &Config{
		RouterName: f.Name, ListenAddr: f.Listen, DiscoveryAddr: f.Discovery, AdminAddr: f.Admin, Seed: seed,
		InitialEndpoints: f.Known, Module: m, Limits: f.limits(&m, &r),
	}, nil
}

// override replaces keys of the file by the environment variables that are set.
func (f *file) override(getenv func(string) string) {
	for name, field := range map[string]*string{
		envName: &f.Name, envListen: &f.Listen, envDiscovery: &f.Discovery, envAdmin: &f.Admin,
	} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
}

// check validates the addresses, the seed and the machine's limits. It returns the seed, or the first error.
func (f *file) check() (seed uint64, err error) {
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return 0, fmt.Errorf("listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(f.Discovery); err != nil {
		return 0, fmt.Errorf("discovery: %w", err)
	}
	if f.Admin != "" {
		if err := checkHostPort(f.Admin); err != nil {
			return 0, fmt.Errorf("admin: %w", err)
		}
	}
	seed, err = strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: %w", err)
	}
	l := &f.Limits
	if !(l.Cores > 0 && l.Cores <= maxCores) || l.MemoryMB < minMemoryMB || l.Sockets < minSockets {
		return 0, fmt.Errorf("limits: cores %v, memory_mb %d, sockets %d: must be greater than 0 and at most %d, at least %d, and at least %d",
			l.Cores, l.MemoryMB, l.Sockets, maxCores, minMemoryMB, minSockets)
	}
	return seed, nil
}

// checkHostPort requires a host and a port from 1 to 65535.
func checkHostPort(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return fmt.Errorf("%q is not a host with a port from 1 to 65535", addr)
	}
	return nil
}

// limits derives the limits of the process from the machine's resources and the settings.
func (f *file) limits(m *Module, r *routerSettings) limits.Limits {
	var maxDeadline time.Duration
	for i := range m.Settings.Classes {
		maxDeadline = max(maxDeadline, m.Settings.Classes[i].Deadline)
	}
	l := limits.New(
		limits.Machine{Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets},
		limits.Site{
			ConnectTimeout: microseconds(r.Limits.ConnectTimeout), UpstreamIdleClose: microseconds(r.Limits.IdleClose),
			MaxConcurrentRequests: r.Limits.MaxOpen, MaxAttempts: m.Settings.Limits.MaxAttempts, MaxDeadline: maxDeadline,
		})
	if f.Admin != "" {
		l = l.WithAdmin()
	}
	return l
}
