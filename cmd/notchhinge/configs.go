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

	"notchhinge/internal/config/tomlfile"

	"github.com/pelletier/go-toml/v2"

	"notchhinge/deploy"
	"notchhinge/internal/configfile"
	"notchhinge/internal/control/fleetconfig"
)

type configCmd struct {
	Check    configCheck    `cmd:"" help:"Check a file and say every fault, with its line. It asks no fleet."`
	Diff     configDiff     `cmd:"" help:"Say what changes from one file to another. It asks no fleet."`
	Plan     configPlan     `cmd:"" help:"Say what a file would change of what is in force. Nothing is changed."`
	Apply    configApply    `cmd:"" help:"Have the fleet take a file's configuration, upon the version that is in force."`
	Rollback configRollback `cmd:"" help:"Have the fleet take an earlier configuration again, from a file, under the next number."`
	Describe configDescribe `cmd:"" help:"Print the newest configuration that the fleet has agreed on."`
	History  configHistory  `cmd:"" help:"List the configurations that the fleet has taken, the newest last."`
	Schema   configSchema   `cmd:"" help:"Print the JSON Schema of configurations in files."`
}

// configFileArg is a file that commands take.
type configFileArg struct {
	File string `arg:"" help:"The configuration: TOML, or CBOR as the wire has it." type:"existingfile"`
}

func readFile(path string) (*configfile.File, error) {
	f, err := configfile.Load(path, os.Getenv)
	if faults := (tomlfile.Errors{}); errors.As(err, &faults) {
		return nil, badConfig{err}
	}
	return f, err
}

type configCheck struct{ configFileArg }

// Run checks a file.
func (c configCheck) Run() error {
	f, err := readFile(c.File)
	if err != nil {
		return err
	}
	version := "the next version"
	if f.HasRevision {
		version = fmt.Sprintf("revision %d", f.Revision)
	}
	fmt.Printf("%s: good; %s, %d routes, %d services, %d tenants\n", c.File, version, len(f.Routes), len(f.Services), len(f.Tenants))
	for _, k := range f.UnresolvedKeys {
		fmt.Printf("not here: %s, which apply will want\n", k)
	}
	return nil
}

// output is the form in which a list is printed.
type output struct {
	Output string `help:"Form: ${enum}." enum:"table,json" default:"table"`
}

// changes prints what changes.
func (o output) changes(all []configfile.Change) error {
	if o.Output == "json" {
		if all == nil {
			all = []configfile.Change{}
		}
		return asJSON(all)
	}
	for _, c := range all {
		fmt.Println(c)
	}
	if len(all) == 0 {
		fmt.Println("nothing changes")
	}
	return nil
}

func asJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

type configDiff struct {
	Old string `arg:"" help:"The one." type:"existingfile"`
	New string `arg:"" help:"The other." type:"existingfile"`
	output
}

// Run compares two files.
func (c configDiff) Run() error {
	a, err := readFile(c.Old)
	if err != nil {
		return err
	}
	b, err := readFile(c.New)
	if err != nil {
		return err
	}
	return c.changes(configfile.Diff(a.Config, b.Config))
}

// toFleet is where a command finds the fleet.
type toFleet struct {
	Control string `help:"A control address, of any process." required:"" placeholder:"IP:PORT"`
}

// current reads the newest configuration, as bytes too; nil is none yet.
func (t toFleet) current() (*fleetconfig.Config, []byte, error) {
	resp, err := call(http.MethodGet, "http://"+t.Control+"/Configuration.Describe", nil)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return nil, nil, nil
	}
	b, err := answered(resp)
	if err != nil {
		return nil, nil, err
	}
	c, _, err := fleetconfig.DecodeWithDigest(b)
	return c, b, err
}

type configPlan struct {
	configFileArg
	toFleet
	output
}

// Run says what would change.
func (c configPlan) Run() error {
	f, now, _, err := c.against(c.File)
	if err != nil {
		return err
	}
	if c.Output == "table" {
		fmt.Printf("upon revision %d, as revision %d\n", revision(now), f.Revision)
		for _, k := range f.UnresolvedKeys {
			fmt.Printf("not here: %s; it counts as a key that changes\n", k)
		}
	}
	return c.changes(configfile.Diff(now, f.Config))
}

func revision(c *fleetconfig.Config) uint64 {
	if c == nil {
		return 0
	}
	return c.Revision
}

// against reads a file and what is in force; a file without a number gets the next.
func (t toFleet) against(path string) (*configfile.File, *fleetconfig.Config, []byte, error) {
	f, err := readFile(path)
	if err != nil {
		return nil, nil, nil, err
	}
	now, text, err := t.current()
	if err != nil {
		return nil, nil, nil, err
	}
	if !f.HasRevision {
		f.Revision = revision(now) + 1
	}
	return f, now, text, nil
}

type configApply struct {
	configFileArg
	toFleet
	applying
}

// applying is how a configuration is sent.
type applying struct {
	On   *uint64       `help:"Only upon this version: what was planned holds." placeholder:"REVISION"`
	Save string        `help:"Keep what is in force until now in this file, for rollback. It holds keys of tenants." type:"path" placeholder:"FILE.cbor"`
	Wait time.Duration `help:"Send it again for so long, as long as there is no clear answer." default:"30s"`
}

// Run applies a file.
func (c configApply) Run() error {
	f, now, text, err := c.against(c.File)
	if err != nil {
		return err
	}
	return c.apply(c.toFleet, f, now, text)
}

type configRollback struct {
	configFileArg
	toFleet
	applying
}

// Run applies an earlier configuration under the next number.
func (c configRollback) Run() error {
	f, now, text, err := c.against(c.File)
	if err != nil {
		return err
	}
	f.Revision = revision(now) + 1
	return c.apply(c.toFleet, f, now, text)
}

// apply sends a configuration until there is a clear answer. It is the very same each time, so that one that was taken and
// whose answer was lost is not taken twice.
func (a applying) apply(t toFleet, f *configfile.File, now *fleetconfig.Config, before []byte) error {
	on := revision(now)
	switch {
	case len(f.UnresolvedKeys) > 0:
		return badConfig{fmt.Errorf("%s: keys are not here: %v", f.Path, f.UnresolvedKeys)}
	case a.On != nil && *a.On != on:
		return lostRace{fmt.Errorf("revision %d is in force, not %d: nothing was sent; plan again", on, *a.On)}
	case f.Revision <= on && f.HasRevision && len(configfile.Diff(now, f.Config)) == 0:
		fmt.Printf("revision %d is in force already\n", on)
		return nil
	case f.Revision <= on:
		return badConfig{fmt.Errorf("%s: revision: %d is not above the one in force, %d; leave it out to get the next", f.Path, f.Revision, on)}
	}
	if a.Save != "" && before != nil {
		if err := os.WriteFile(a.Save, before, 0o600); err != nil {
			return err
		}
	}
	text, err := configfile.Encode(f.Config)
	if err != nil {
		return err
	}
	return a.submit(t.Control, f, on, text)
}

// submit sends an encoded configuration to be stored upon revision on, until there is a clear answer.
func (a applying) submit(to string, f *configfile.File, on uint64, text []byte) error {
	client := http.Client{Timeout: 5 * time.Second}
	for end := time.Now().Add(a.Wait); ; {
		status, says, err := send(&client, to, on, text)
		switch {
		case err == nil && status == http.StatusOK:
			fmt.Printf("revision %d is acknowledged, upon %d\n", f.Revision, on)
			return nil
		case err == nil && status == http.StatusPreconditionFailed:
			return lostRace{fmt.Errorf("another configuration came before (%s): nothing of this one was taken; plan again", says)}
		case err == nil && status < 500:
			return badConfig{fmt.Errorf("%s: the fleet does not take it: %s", f.Path, says)}
		case err == nil:
			err = fmt.Errorf("%d: %s", status, says)
		}
		if time.Now().After(end) {
			return fmt.Errorf("no clear answer for %v, the last: %w; it may have been taken: the same command may be given again", a.Wait, err)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func send(client *http.Client, to string, on uint64, text []byte) (status int, says string, err error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+to+"/Configuration.Replace", bytes.NewReader(text))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("X-Revision-Match", strconv.FormatUint(on, 10))
	req.Header.Set("Content-Type", "application/cbor")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	if _, err := answered(resp); err != nil {
		return resp.StatusCode, err.Error(), nil
	}
	return resp.StatusCode, "", nil
}

type configDescribe struct {
	toFleet
	Output string `help:"Form: ${enum}. cbor is the very bytes, with keys of tenants; the others hide them." enum:"json,toml,cbor" default:"json"`
}

// Run prints a configuration.
func (c configDescribe) Run() error {
	conf, text, err := c.current()
	switch {
	case err != nil:
		return err
	case conf == nil:
		return errors.New("there is no configuration yet")
	case c.Output == "cbor":
		_, err = os.Stdout.Write(text)
		return err
	case c.Output == "json":
		return asJSON(configfile.Redact(conf))
	}
	return toml.NewEncoder(os.Stdout).Encode(configfile.Redact(conf))
}

type configHistory struct {
	toFleet
	output
}

// Run lists what was taken.
func (c configHistory) Run() error {
	var all []struct {
		Revision uint64 `json:"revision"`
		Digest   string `json:"digest"`
	}
	if err := askJSON(c.Control, "/fleet/history", &all); err != nil {
		return err
	}
	if c.Output == "json" {
		return asJSON(all)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tDIGEST")
	for _, x := range all {
		fmt.Fprintf(w, "%d\t%s\n", x.Revision, x.Digest)
	}
	return w.Flush()
}

type configSchema struct{}

// Run prints the schema.
func (configSchema) Run() error {
	_, err := os.Stdout.Write(deploy.ConfigurationSchema)
	return err
}
