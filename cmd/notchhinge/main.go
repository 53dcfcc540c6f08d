// Command notchhinge routes requests to language-model servers. It runs a router or a process of the fleet, and has the commands
// with which operators inspect and configure them.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"notchhinge/deploy"
	"notchhinge/internal/batch"
	"notchhinge/internal/config/nodeconfig"
	"notchhinge/internal/config/operatorconfig"
	"notchhinge/internal/config/platformconfig"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/node"
	"notchhinge/internal/reconcile"
	"notchhinge/internal/router"
)

// cli is the command line. The names of commands and flags are derived from the names of fields.
type cli struct {
	Serve       serveCmd                     `cmd:"" help:"Run a router, configured by environment variables (BALANCER_CONFIG and others)."`
	CheckConfig checkConfigCmd               `cmd:"" help:"Check the configuration of a router and report its errors."`
	Schema      schemaCmd                    `cmd:"" help:"Print the JSON Schema of the operator's settings."`
	Pools       poolsCmd                     `cmd:"" help:"Print the state and counters of each pool of a running router."`
	Routes      routesCmd                    `cmd:"" help:"Show how requests are routed to services."`
	Trace       traceCmd                     `cmd:"" help:"Find and show request traces."`
	Node        nodeCmd                      `cmd:"" help:"Run a process of the fleet with the settings file that NOTCHHINGE_BOOT names."`
	Fleet       fleetCmd                     `cmd:"" help:"Show the status of processes of the fleet, and remove voters."`
	Config      configCmd                    `cmd:"" help:"Check, compare, apply and print fleet configurations."`
	Engines     enginesCmd                   `cmd:"" help:"List the fleet's engines, and explain why an engine gets requests or not."`
	Request     requestCmd                   `cmd:"" help:"Explain how a request would be routed."`
	State       stateCmd                     `cmd:"" help:"Inspect, back up and restore the state on a replica's disk."`
	Version     versionCmd                   `cmd:"" help:"Print the version."`
	Completions kongplete.InstallCompletions `cmd:"" help:"Print the shell commands that enable completion."`

	LogFormat string `help:"Format of the log: ${enum}." enum:"text,json" default:"text"`
	LogLevel  string `help:"Minimum level of logged messages: ${enum}." enum:"debug,info,warn,error" default:"info"`
}

// logger returns the logger of the program, which writes to standard error.
func (c *cli) logger() *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		level = slog.LevelInfo // not reached: kong accepts only the names of levels
	}
	options := &slog.HandlerOptions{Level: level}
	if c.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, options))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options))
}

// revisionConflict is the error of a configuration that is based on a revision other than the current one. The exit code is 3.
type revisionConflict struct{ error }

// configError is an error in the configuration or in an argument. The exit code is 2.
type configError struct{ error }

type serveCmd struct {
	Config string `help:"The operator's settings (deploy/notchhinge.toml)." type:"existingfile" placeholder:"FILE"`
	Batch  string `help:"Deprecated: a separate settings file of the batch service (deploy/batch.toml). Put its tables in the file of --config instead." type:"existingfile" placeholder:"FILE"`
}

// loadOperatorSettings reads the operator's settings and the deprecated settings file of the batch service. Either path may be
// empty. The batch configuration is nil if neither file has one.
func loadOperatorSettings(cfg *platformconfig.Config, path, batchPath string) (f *operatorconfig.File, b *batch.Config, err error) {
	f = &operatorconfig.File{}
	if path != "" {
		if f, b, err = cfg.LoadOperatorFile(path, os.Getenv); err != nil {
			return nil, nil, configError{err}
		}
	}
	if batchPath != "" {
		if b != nil {
			return nil, nil, configError{fmt.Errorf("%s: the batch service is already configured in %s", batchPath, path)}
		}
		if b, err = cfg.LoadBatchFile(batchPath, os.Getenv); err != nil {
			return nil, nil, configError{err}
		}
	}
	return f, b, nil
}

// Run runs a router until SIGTERM or SIGINT. SIGUSR1 logs its counters, and SIGHUP reloads the configuration.
func (s serveCmd) Run(c *cli) error {
	cfg, err := platformconfig.Load(os.Getenv)
	if err != nil {
		return configError{err}
	}
	log := c.logger().With("router", cfg.RouterName)
	stop, printCounters, reload := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(printCounters, syscall.SIGUSR1)
	signal.Notify(reload, syscall.SIGHUP)
	f, b, err := loadOperatorSettings(cfg, s.Config, s.Batch)
	if err != nil {
		return err
	}
	if s.Batch != "" {
		log.Warn("--batch is deprecated; move its tables to the file of --config", "file", s.Batch)
	}
	p, err := initialPlan(cfg, f, b)
	if err != nil {
		return configError{err}
	}
	r := router.New(cfg, p, log, (&net.Dialer{}).DialContext, dispatch.UnixClock())
	if f.Trace != nil {
		if err := r.EnableTracing(f.Trace, programVersion()); err != nil {
			return err
		}
	}
	if b != nil {
		ln, err := net.Listen("tcp", b.Listen)
		if err != nil {
			return err
		}
		if err := r.EnableBatch(b, ln); err != nil {
			return err
		}
	}
	if f.Control != nil {
		ln, err := router.ListenControl(f.Control.SocketPath)
		if err != nil {
			return err
		}
		defer ln.Close()
		r.EnableControl(ln)
	}
	limits := cfg.Limits // a reload does not change the limits of the process
	return r.Serve(router.Signals{
		Stop: stop, PrintCounters: printCounters, Reload: reload,
		LoadPlan: func(running *reconcile.Plan) (*platformconfig.Config, *reconcile.Plan, error) {
			cfg, err := platformconfig.Reload(os.Getenv)
			if err != nil {
				return nil, nil, err
			}
			cfg.Limits = limits
			f, _, err := loadOperatorSettings(cfg, s.Config, s.Batch)
			if err != nil {
				return nil, nil, err
			}
			p, err := reconcile.NewPlan(cfg, f, running)
			return cfg, p, err
		},
	})
}

// initialPlan returns the plan that the router starts with. It reserves file descriptors in cfg.Limits for the batch service, the
// connections to discovery services and the control socket.
func initialPlan(cfg *platformconfig.Config, f *operatorconfig.File, b *batch.Config) (*reconcile.Plan, error) {
	if b != nil {
		cfg.Limits = cfg.Limits.WithBatch(b.MaxOpenFiles())
	}
	p, err := reconcile.NewPlan(cfg, f, nil)
	if err != nil || len(f.Services) == 0 && f.Control == nil {
		return p, err
	}
	cfg.Limits = cfg.Limits.WithEndpointSources(len(p.EndpointSources()))
	return reconcile.NewPlan(cfg, f, nil) // with quotas of the reduced limits
}

type checkConfigCmd struct {
	Config string `help:"Also check the operator's settings in this file." type:"existingfile" placeholder:"FILE"`
	Batch  string `help:"Deprecated: also check this settings file of the batch service." type:"existingfile" placeholder:"FILE"`
}

// Run loads the configuration as serve does, and prints a summary.
func (c checkConfigCmd) Run() error {
	cfg, err := platformconfig.Load(os.Getenv)
	if err != nil {
		return configError{err}
	}
	f, b, err := loadOperatorSettings(cfg, c.Config, c.Batch)
	if err != nil {
		return err
	}
	p, err := initialPlan(cfg, f, b)
	if err != nil {
		return configError{err}
	}
	fmt.Printf("router %s on %s: %d classes, %d known engines\n",
		cfg.RouterName, cfg.ListenAddr, len(cfg.Settings.Classes), len(cfg.InitialEndpoints.Hosts))
	for _, pool := range p.Pools {
		if pool.Name != "" {
			fmt.Printf("pool %s: endpoints from %s, %d classes, requests in flight %d to %d, upstream connections %d to %d, request bodies %d to %d bytes\n",
				pool.Name, pool.DiscoveryAddr, len(pool.Module.Settings.Classes), pool.RequestQuota.Guarantee, pool.RequestQuota.Max, pool.UpstreamConnQuota.Guarantee,
				pool.UpstreamConnQuota.Max, pool.BodyQuota.Guarantee, pool.BodyQuota.Max)
		}
	}
	return nil
}

type nodeCmd struct {
	Check bool `help:"Check the settings, report every error in them, and exit."`
}

// Run runs a process of the fleet until SIGTERM or SIGINT. SIGHUP reloads its settings.
func (n nodeCmd) Run(c *cli) error {
	if n.Check {
		s, err := nodeconfig.Load(os.Getenv(nodeconfig.EnvVar))
		if err != nil {
			return configError{err}
		}
		fmt.Printf("%s on %s in %s: replica %v, traffic %v\n", s.NodeName, s.IPAddress, s.Zone, s.IsReplica(), s.Listeners.Frontend != "")
		return nil
	}
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	err := node.Run(os.Getenv(nodeconfig.EnvVar), c.logger(), node.Signals{Stop: stop, Reload: reload})
	if fieldErrs := (nodeconfig.FieldErrors{}); errors.As(err, &fieldErrs) {
		return configError{err}
	}
	return err
}

type schemaCmd struct{}

// Run prints the JSON Schema of the operator's settings.
func (schemaCmd) Run() error {
	_, err := os.Stdout.Write(deploy.Schema)
	return err
}

type versionCmd struct{}

// programVersion returns the version of the main module, or "unknown" if the binary has no build information.
func programVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}

// Run prints the module's version and the version of Go that built it.
func (versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("the binary has no build information")
	}
	fmt.Println("notchhinge", info.Main.Version, info.GoVersion)
	return nil
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("notchhinge"), kong.Description("A router for requests to language-model servers."))
	kongplete.Complete(parser) // exits if a shell asks for completions
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	err = ctx.Run(&c)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "notchhinge:", err)
	if configErr := (configError{}); errors.As(err, &configErr) { // kong may wrap the error of a command
		os.Exit(2)
	}
	if conflict := (revisionConflict{}); errors.As(err, &conflict) {
		os.Exit(3)
	}
	os.Exit(1)
}
