// Command notchhinge is a router before language-model servers.
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

type cli struct {
	Serve       serve                        `cmd:"" help:"Run a router, as the environment tells it (BALANCER_CONFIG and the others)."`
	CheckConfig checkConfig                  `cmd:"" help:"Check the configuration and say what is wrong with it."`
	Schema      schema                       `cmd:"" help:"Print the JSON Schema of the operator's settings."`
	Pools       pools                        `cmd:"" help:"Print what each pool of a running router holds."`
	Routes      routesCmd                    `cmd:"" help:"Say how requests are led to services."`
	Trace       traceCmd                     `cmd:"" help:"Find and show recorded requests."`
	Node        nodeCmd                      `cmd:"" help:"Run a process of the fleet, as the file says that NOTCHHINGE_BOOT names."`
	Fleet       fleetCmd                     `cmd:"" help:"Ask processes of the fleet how they are."`
	Config      configCmd                    `cmd:"" help:"Check, compare, apply and show configurations of the fleet."`
	Engines     enginesCmd                   `cmd:"" help:"List the fleet's engines, and say why they get requests."`
	Request     requestCmd                   `cmd:"" help:"Say what would become of a request."`
	State       stateCmd                     `cmd:"" help:"Look at, back up and restore the state on a replica's disk."`
	Version     version                      `cmd:"" help:"Print the version."`
	Completions kongplete.InstallCompletions `cmd:"" help:"Print what a shell must run to complete this program's commands."`

	LogFormat string `help:"Form of the log: ${enum}." enum:"text,json" default:"text"`
	LogLevel  string `help:"Least level that is logged: ${enum}." enum:"debug,info,warn,error" default:"info"`
}

// logger makes the program's log, on standard error.
func (c *cli) logger() *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		level = slog.LevelInfo // kong lets no other name through
	}
	o := &slog.HandlerOptions{Level: level}
	if c.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, o))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, o))
}

// lostRace is a configuration that another came before; the program ends with exit code 3.
type lostRace struct{ error }

// badConfig is an error of the configuration; the program ends with exit code 2.
type badConfig struct{ error }

type serve struct {
	Config string `help:"The operator's settings (deploy/notchhinge.toml)." type:"existingfile" placeholder:"FILE"`
	Batch  string `help:"Deprecated: the batch front's own file (deploy/batch.toml). It has a place in --config." type:"existingfile" placeholder:"FILE"`
}

// subsystems reads the operator's settings, and the batch front's old file where that is given.
func subsystems(cfg *platformconfig.Config, path, old string) (f *operatorconfig.File, b *batch.Config, err error) {
	f = &operatorconfig.File{}
	if path != "" {
		if f, b, err = cfg.LoadOperatorFile(path, os.Getenv); err != nil {
			return nil, nil, badConfig{err}
		}
	}
	if old != "" {
		if b != nil {
			return nil, nil, badConfig{fmt.Errorf("%s: the batch front is set in %s already", old, path)}
		}
		if b, err = cfg.LoadBatchFile(old, os.Getenv); err != nil {
			return nil, nil, badConfig{err}
		}
	}
	return f, b, nil
}

// Run runs a router until SIGTERM or SIGINT; SIGUSR1 prints its counters, SIGHUP has the configuration read again.
func (s serve) Run(c *cli) error {
	cfg, err := platformconfig.Load(os.Getenv)
	if err != nil {
		return badConfig{err}
	}
	log := c.logger().With("router", cfg.RouterName)
	stop, audit, reload := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(audit, syscall.SIGUSR1)
	signal.Notify(reload, syscall.SIGHUP)
	f, b, err := subsystems(cfg, s.Config, s.Batch)
	if err != nil {
		return err
	}
	if s.Batch != "" {
		log.Warn("--batch is deprecated: its tables have a place in the file of --config", "file", s.Batch)
	}
	p, err := begin(cfg, f, b)
	if err != nil {
		return badConfig{err}
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
	limits := cfg.Limits // with what the process has, whatever is read later
	return r.Serve(router.Signals{
		Stop: stop, PrintCounters: audit, Reload: reload,
		LoadPlan: func(running *reconcile.Plan) (*platformconfig.Config, *reconcile.Plan, error) {
			cfg, err := platformconfig.Reload(os.Getenv)
			if err != nil {
				return nil, nil, err
			}
			cfg.Limits = limits
			f, _, err := subsystems(cfg, s.Config, s.Batch)
			if err != nil {
				return nil, nil, err
			}
			p, err := reconcile.NewPlan(cfg, f, running)
			return cfg, p, err
		},
	})
}

// begin makes the plan to begin with, and room in the limits for what it and the batch front need.
func begin(cfg *platformconfig.Config, f *operatorconfig.File, b *batch.Config) (*reconcile.Plan, error) {
	if b != nil {
		cfg.Limits = cfg.Limits.WithBatch(b.MaxOpenFiles())
	}
	p, err := reconcile.NewPlan(cfg, f, nil)
	if err != nil || len(f.Services) == 0 && f.Control == nil {
		return p, err
	}
	cfg.Limits = cfg.Limits.WithEndpointSources(len(p.EndpointSources()))
	return reconcile.NewPlan(cfg, f, nil) // its parts are of what is left
}

type checkConfig struct {
	Config string `help:"Check the operator's settings, too." type:"existingfile" placeholder:"FILE"`
	Batch  string `help:"Check the batch front's old file, too." type:"existingfile" placeholder:"FILE"`
}

// Run loads the configuration as serve does.
func (c checkConfig) Run() error {
	cfg, err := platformconfig.Load(os.Getenv)
	if err != nil {
		return badConfig{err}
	}
	f, b, err := subsystems(cfg, c.Config, c.Batch)
	if err != nil {
		return err
	}
	p, err := begin(cfg, f, b)
	if err != nil {
		return badConfig{err}
	}
	fmt.Printf("router %s on %s: %d classes, %d known engines\n",
		cfg.RouterName, cfg.ListenAddr, len(cfg.Settings.Classes), len(cfg.InitialEndpoints.Hosts))
	for _, q := range p.Pools {
		if q.Name != "" {
			fmt.Printf("pool %s: list of %s, %d classes, open %d to %d, lines %d to %d, bodies %d to %d bytes\n", q.Name, q.DiscoveryAddr,
				len(q.Module.Settings.Classes), q.RequestQuota.Guarantee, q.RequestQuota.Max, q.UpstreamConnQuota.Guarantee, q.UpstreamConnQuota.Max,
				q.BodyQuota.Guarantee, q.BodyQuota.Max)
		}
	}
	return nil
}

type nodeCmd struct {
	Check bool `help:"Check the settings, say everything that is wrong with them, and end."`
}

// Run runs a process of the fleet until SIGTERM; SIGHUP has its settings read again.
func (n nodeCmd) Run(c *cli) error {
	if n.Check {
		s, err := nodeconfig.Load(os.Getenv(nodeconfig.EnvVar))
		if err != nil {
			return badConfig{err}
		}
		fmt.Printf("%s on %s in %s: replica %v, traffic %v\n", s.NodeName, s.IPAddress, s.Zone, s.IsReplica(), s.Listeners.Frontend != "")
		return nil
	}
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	err := node.Run(os.Getenv(nodeconfig.EnvVar), c.logger(), node.Signals{Stop: stop, Reload: reload})
	if faults := (nodeconfig.FieldErrors{}); errors.As(err, &faults) {
		return badConfig{err}
	}
	return err
}

type schema struct{}

// Run prints the schema that stands beside the settings.
func (schema) Run() error {
	_, err := os.Stdout.Write(deploy.Schema)
	return err
}

type version struct{}

// programVersion is the module's version, as far as the build tells.
func programVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}

// Run prints the module's version and the Go release that built it.
func (version) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("built without build information")
	}
	fmt.Println("notchhinge", info.Main.Version, info.GoVersion)
	return nil
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("notchhinge"), kong.Description("A router before language-model servers."))
	kongplete.Complete(parser) // answers and ends where a shell asks for completions
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	err = ctx.Run(&c)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "notchhinge:", err)
	if bad := (badConfig{}); errors.As(err, &bad) { // kong wraps what a command returns
		os.Exit(2)
	}
	if lost := (lostRace{}); errors.As(err, &lost) {
		os.Exit(3)
	}
	os.Exit(1)
}
