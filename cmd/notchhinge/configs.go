package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"

	"notchhinge/deploy"
	"notchhinge/internal/config/tomlfile"
	"notchhinge/internal/configfile"
	"notchhinge/internal/control/fleetconfig"
)

type configCmd struct {
	Check    configCheck    `cmd:"" help:"Check a file and report every error with its line. No fleet is contacted."`
	Diff     configDiff     `cmd:"" help:"List the changes from one file to another. No fleet is contacted."`
	Plan     configPlan     `cmd:"" help:"List what a file would change in the current configuration. Nothing is changed."`
	Apply    configApply    `cmd:"" help:"Replace the current configuration of the fleet with that of a file."`
	Rollback configRollback `cmd:"" help:"Replace the current configuration with an earlier one from a file, under the next revision number."`
	Describe configDescribe `cmd:"" help:"Print the newest configuration of the fleet."`
	History  configHistory  `cmd:"" help:"List the configurations that the fleet has accepted, the newest last."`
	Schema   configSchema   `cmd:"" help:"Print the JSON Schema of configuration files."`
}

// configFileArg is the argument of commands that read a configuration file.
type configFileArg struct {
	File string `arg:"" help:"The configuration file: TOML, or CBOR as printed by config describe --output cbor." type:"existingfile"`
}

// readFile reads and checks a configuration file. Errors in its content are a configError.
func readFile(path string) (*configfile.File, error) {
	f, err := configfile.Load(path, os.Getenv)
	if fileErrs := (tomlfile.Errors{}); errors.As(err, &fileErrs) {
		return nil, configError{err}
	}
	return f, err
}

type configCheck struct{ configFileArg }

// Run checks a file and prints a summary.
func (c configCheck) Run() error {
	f, err := readFile(c.File)
	if err != nil {
		return err
	}
	revision := "the next revision"
	if f.HasRevision {
		revision = fmt.Sprintf("revision %d", f.Revision)
	}
	fmt.Printf("%s: valid; %s, %d routes, %d services, %d tenants\n", c.File, revision, len(f.Routes), len(f.Services), len(f.Tenants))
	for _, k := range f.UnresolvedKeys {
		fmt.Printf("unresolved key: %s; config apply requires it\n", k)
	}
	return nil
}

// outputFormat is the format in which a list is printed.
type outputFormat struct {
	Output string `help:"Output format: ${enum}." enum:"table,json" default:"table"`
}

// printChanges prints a list of changes.
func (o outputFormat) printChanges(changes []configfile.Change) error {
	if o.Output == "json" {
		if changes == nil {
			changes = []configfile.Change{} // encoded as [], not null
		}
		return printJSON(changes)
	}
	for _, c := range changes {
		fmt.Println(c)
	}
	if len(changes) == 0 {
		fmt.Println("no changes")
	}
	return nil
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

type configDiff struct {
	Old string `arg:"" help:"The old configuration file." type:"existingfile"`
	New string `arg:"" help:"The new configuration file." type:"existingfile"`
	outputFormat
}

// Run lists the changes from one file to the other.
func (c configDiff) Run() error {
	from, err := readFile(c.Old)
	if err != nil {
		return err
	}
	to, err := readFile(c.New)
	if err != nil {
		return err
	}
	return c.printChanges(configfile.Diff(from.Config, to.Config))
}

// fleetClient calls the control plane through one process of the fleet.
type fleetClient struct {
	Control string `help:"The control address of any process of the fleet." required:"" placeholder:"IP:PORT"`
}

// currentConfig returns the newest configuration of the fleet, also in its encoded form. Both are nil if there is none yet.
func (fc fleetClient) currentConfig() (*fleetconfig.Config, []byte, error) {
	resp, err := doRequest(http.MethodGet, "http://"+fc.Control+"/Configuration.Describe", nil)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return nil, nil, nil
	}
	b, err := readResponse(resp)
	if err != nil {
		return nil, nil, err
	}
	c, _, err := fleetconfig.DecodeWithDigest(b)
	return c, b, err
}

type configPlan struct {
	configFileArg
	fleetClient
	outputFormat
}

// Run lists what the file would change in the current configuration.
func (c configPlan) Run() error {
	f, current, _, err := c.loadWithCurrent(c.File)
	if err != nil {
		return err
	}
	if c.Output == "table" {
		fmt.Printf("current revision %d, planned revision %d\n", revisionOf(current), f.Revision)
		for _, k := range f.UnresolvedKeys {
			fmt.Printf("unresolved key: %s; counted as a changed key\n", k)
		}
	}
	return c.printChanges(configfile.Diff(current, f.Config))
}

// revisionOf returns the revision of a configuration, 0 for none.
func revisionOf(c *fleetconfig.Config) uint64 {
	if c == nil {
		return 0
	}
	return c.Revision
}

// loadWithCurrent reads a configuration file, and the current configuration as currentConfig does. A file that gives no revision
// gets the one after the current revision.
func (fc fleetClient) loadWithCurrent(path string) (*configfile.File, *fleetconfig.Config, []byte, error) {
	f, err := readFile(path)
	if err != nil {
		return nil, nil, nil, err
	}
	current, text, err := fc.currentConfig()
	if err != nil {
		return nil, nil, nil, err
	}
	if !f.HasRevision {
		f.Revision = revisionOf(current) + 1
	}
	return f, current, text, nil
}

type configApply struct {
	configFileArg
	fleetClient
	applyFlags
}

// applyFlags has the flags of commands that replace the configuration of the fleet.
type applyFlags struct {
	On   *uint64       `help:"Fail unless this revision is the current one, so that the plan still holds." placeholder:"REVISION"`
	Save string        `help:"Save the current configuration in this file for a rollback. The file contains the API keys of tenants." type:"path" placeholder:"FILE.cbor"`
	Wait time.Duration `help:"How long to retry while the outcome is unknown." default:"30s"`
}

// Run applies the configuration of a file.
func (c configApply) Run() error {
	f, current, text, err := c.loadWithCurrent(c.File)
	if err != nil {
		return err
	}
	return c.apply(c.fleetClient, f, current, text)
}

type configRollback struct {
	configFileArg
	fleetClient
	applyFlags
}

// Run applies an earlier configuration under the next revision number.
func (c configRollback) Run() error {
	f, current, text, err := c.loadWithCurrent(c.File)
	if err != nil {
		return err
	}
	f.Revision = revisionOf(current) + 1
	return c.apply(c.fleetClient, f, current, text)
}

// apply checks a configuration against the current one, saves the current one if --save is set, and submits the new one.
func (a applyFlags) apply(fc fleetClient, f *configfile.File, current *fleetconfig.Config, currentText []byte) error {
	base := revisionOf(current)
	switch {
	case len(f.UnresolvedKeys) > 0:
		return configError{fmt.Errorf("%s: unresolved keys: %v", f.Path, f.UnresolvedKeys)}
	case a.On != nil && *a.On != base:
		return revisionConflict{fmt.Errorf("the current revision is %d, not %d; nothing was sent; run config plan again", base, *a.On)}
	case f.Revision <= base && f.HasRevision && len(configfile.Diff(current, f.Config)) == 0:
		fmt.Printf("revision %d is already the current one\n", base)
		return nil
	case f.Revision <= base:
		return configError{fmt.Errorf("%s: revision: %d is not above the current revision %d; omit it to use the next one", f.Path, f.Revision, base)}
	}
	if a.Save != "" && currentText != nil {
		if err := os.WriteFile(a.Save, currentText, 0o600); err != nil {
			return err
		}
	}
	text, err := configfile.Encode(f.Config)
	if err != nil {
		return err
	}
	return a.submit(fc.Control, f, base, text)
}

// submit sends an encoded configuration, which is based on revision base, and retries for up to a.Wait while the outcome is unknown.
// Every attempt sends the same bytes, so that a configuration whose response was lost is not accepted twice.
func (a applyFlags) submit(addr string, f *configfile.File, base uint64, text []byte) error {
	client := http.Client{Timeout: 5 * time.Second}
	for deadline := time.Now().Add(a.Wait); ; {
		status, message, err := send(&client, addr, base, text)
		switch {
		case err == nil && status == http.StatusOK:
			fmt.Printf("accepted revision %d, based on %d\n", f.Revision, base)
			return nil
		case err == nil && status == http.StatusPreconditionFailed:
			return revisionConflict{fmt.Errorf("another configuration was accepted first (%s); this one was rejected; run config plan again", message)}
		case err == nil && status < 500:
			return configError{fmt.Errorf("%s: rejected by the fleet: %s", f.Path, message)}
		case err == nil:
			err = fmt.Errorf("%d: %s", status, message)
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("outcome still unknown after %v; last error: %w; the configuration may have been accepted, and the command can be repeated", a.Wait, err)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// send submits a configuration once. It returns the status of the response and the message of an error response. Err is an error
// of the transport.
func send(client *http.Client, addr string, base uint64, text []byte) (status int, message string, err error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+addr+"/Configuration.Replace", bytes.NewReader(text))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("X-Revision-Match", strconv.FormatUint(base, 10))
	req.Header.Set("Content-Type", "application/cbor")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	if _, err := readResponse(resp); err != nil {
		return resp.StatusCode, err.Error(), nil
	}
	return resp.StatusCode, "", nil
}

type configDescribe struct {
	fleetClient
	Output string `help:"Output format: ${enum}. cbor is the stored encoding and contains the API keys of tenants; the others hide them." enum:"json,toml,cbor" default:"json"`
}

// Run prints the newest configuration.
func (c configDescribe) Run() error {
	config, text, err := c.currentConfig()
	switch {
	case err != nil:
		return err
	case config == nil:
		return errors.New("there is no configuration yet")
	case c.Output == "cbor":
		_, err = os.Stdout.Write(text)
		return err
	case c.Output == "json":
		return printJSON(configfile.Redact(config))
	}
	return toml.NewEncoder(os.Stdout).Encode(configfile.Redact(config))
}

type configHistory struct {
	fleetClient
	outputFormat
}

// Run lists revisions and digests of the accepted configurations.
func (c configHistory) Run() error {
	var history []struct {
		Revision uint64 `json:"revision"`
		Digest   string `json:"digest"`
	}
	if err := getJSON(c.Control, "/fleet/history", &history); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(history)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tDIGEST")
	for _, entry := range history {
		fmt.Fprintf(w, "%d\t%s\n", entry.Revision, entry.Digest)
	}
	return w.Flush()
}

type configSchema struct{}

// Run prints the JSON Schema of configuration files.
func (configSchema) Run() error {
	_, err := os.Stdout.Write(deploy.ConfigurationSchema)
	return err
}
