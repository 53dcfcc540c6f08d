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

	"notchhinge/internal/batch"
	"notchhinge/internal/broker"
	"notchhinge/internal/config"
	"notchhinge/internal/router"
)

type cli struct {
	Serve       serve       `cmd:"" help:"Run a router, as the environment tells it (BALANCER_CONFIG and the others)."`
	CheckConfig checkConfig `cmd:"" help:"Check the configuration and say what is wrong with it."`
	Version     version     `cmd:"" help:"Print the version."`
}

// badConfig is an error of the configuration; the program ends with exit code 2.
type badConfig struct{ error }

type serve struct {
	Batch string `help:"Turn the batch front on, as this file says (deploy/batch.toml)." type:"existingfile" placeholder:"FILE"`
}

// Run runs a router until SIGTERM or SIGINT; SIGUSR1 prints its counters, SIGHUP has the configuration read again.
func (s serve) Run() error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return badConfig{err}
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("router", cfg.Name)
	stop, audit, reload := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(audit, syscall.SIGUSR1)
	signal.Notify(reload, syscall.SIGHUP)
	var b *batch.Config
	if s.Batch != "" {
		if b, err = cfg.LoadBatch(s.Batch, os.Getenv); err != nil {
			return badConfig{err}
		}
		cfg.Limits = cfg.Limits.WithBatch(b.Files())
	}
	r, err := router.New(cfg, log, (&net.Dialer{}).DialContext, broker.UnixClock())
	if err != nil {
		return badConfig{err}
	}
	if b != nil {
		ln, err := net.Listen("tcp", b.Listen)
		if err != nil {
			return err
		}
		if err := r.Batch(b, ln); err != nil {
			return err
		}
	}
	return r.Serve(router.Signals{
		Stop: stop, Audit: audit, Reload: reload,
		Reread: func() (*config.Config, error) { return config.Reload(os.Getenv) },
	})
}

type checkConfig struct {
	Batch string `help:"Check the batch front's file, too." type:"existingfile" placeholder:"FILE"`
}

// Run loads the configuration as serve does.
func (c checkConfig) Run() error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return badConfig{err}
	}
	if c.Batch != "" {
		if _, err := cfg.LoadBatch(c.Batch, os.Getenv); err != nil {
			return badConfig{err}
		}
	}
	fmt.Printf("router %s on %s: %d classes, %d known issuer hosts\n",
		cfg.Name, cfg.Listen, len(cfg.Settings.Classes), len(cfg.Known.Hosts))
	return nil
}

type version struct{}

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
	ctx := kong.Parse(&c, kong.Name("notchhinge"), kong.Description("A router before language-model servers."))
	err := ctx.Run()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "notchhinge:", err)
	if bad := (badConfig{}); errors.As(err, &bad) { // kong wraps what a command returns
		os.Exit(2)
	}
	os.Exit(1)
}
