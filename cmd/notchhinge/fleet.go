package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/node"
)

type fleetCmd struct {
	Status fleetStatus `cmd:"" help:"Print what processes of the fleet know, from their control addresses."`
	Watch  fleetWatch  `cmd:"" help:"Print a line whenever what a process knows of the fleet changes, until it is stopped."`
	Remove fleetRemove `cmd:"" help:"Remove a voter that is gone for good. A replica that runs joins again."`
}

type fleetRemove struct {
	Name    string `arg:"" help:"The node_name of the machine."`
	Control string `help:"A control address, of any process." required:"" placeholder:"IP:PORT"`
}

// Run asks for it once; what is not settled may be asked for again.
func (c fleetRemove) Run() error {
	resp, err := call(http.MethodDelete, "http://"+c.Control+"/fleet/members/"+url.PathEscape(c.Name), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := answered(resp); err != nil {
		return err
	}
	fmt.Printf("%s is no member any more\n", c.Name)
	return nil
}

// call makes a call of the control plane, which has five seconds. The caller closes the body.
func call(method, url string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, url, body)
	if err != nil {
		return nil, err
	}
	return (&http.Client{Timeout: 5 * time.Second}).Do(req)
}

// askJSON asks a control address for JSON.
func askJSON(addr, path string, to any) error {
	resp, err := call(http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := answered(resp)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, to)
}

// answered reads an answer of the control plane; one that is not 200 is an error with what it says.
func answered(resp *http.Response) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(resp.Body, fleetconfig.MaxBytes+1))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		var says struct {
			Error string `cbor:"error_message"`
		}
		_ = cbor.Unmarshal(b, &says) // what cannot be read says nothing
		return nil, fmt.Errorf("%s: %s", resp.Status, says.Error)
	}
	return b, nil
}

type fleetStatus struct {
	Control []string `help:"Control addresses to ask." required:"" placeholder:"IP:PORT"`
	Output  string   `help:"Form: ${enum}." enum:"table,json" default:"table"`
}

// Run asks each address. One that does not answer is a line of its own, and makes the exit code 1.
func (c fleetStatus) Run() error {
	var all []map[string]any
	silent := 0
	for _, addr := range c.Control {
		s, err := status(addr)
		if err != nil {
			s = map[string]any{"error": err.Error()}
			silent++
		}
		s["address"] = addr
		all = append(all, s)
	}
	if c.Output == "json" {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		if err := e.Encode(all); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "NODE\tZONE\tREADY\tREVISION\tPLACE\tNEWEST\tPEERS\tENGINES\tCHAIN\tVOTES\tHOLDER\tADDRESS")
		for _, s := range all {
			if s["error"] != nil {
				fmt.Fprintf(w, "-\t-\t%v\t\t\t\t\t\t\t\t\t%v\n", s["error"], s["address"])
				continue
			}
			fmt.Fprintf(w, "%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\n", s["node"], s["zone"], s["ready"], s["revision"], s["place"],
				s["newest_place"], s["peers"], s["engines"], s["chain"], s["votes"], s["holder"], s["address"])
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	if silent > 0 {
		return fmt.Errorf("%d of %d do not answer", silent, len(all))
	}
	return nil
}

type fleetWatch struct {
	toFleet
	Every time.Duration `help:"Pause between two looks." default:"1s"`
	For   time.Duration `help:"End after this; 0 = never."`
}

// Run prints what differs from the look before.
//
//nolint:unparam // kong calls a Run that returns an error
func (c fleetWatch) Run() error {
	before, began := map[string]any{}, time.Now()
	for {
		now, err := status(c.Control)
		if err != nil {
			now = map[string]any{"error": err.Error()}
		}
		var all []string
		for _, k := range watched {
			if now[k] != before[k] && now[k] != nil {
				all = append(all, fmt.Sprintf("%s=%v", k, now[k]))
			}
		}
		if len(all) > 0 {
			fmt.Printf("%s %s\n", time.Now().UTC().Format(time.TimeOnly), strings.Join(all, " "))
		}
		before = now
		if c.For > 0 && time.Since(began)+c.Every > c.For {
			return nil
		}
		time.Sleep(c.Every)
	}
}

var watched = []string{
	"error", "node", "zone", "ready", "revision", "place", "newest_place", "peers", "keepers", "engines", "members", "votes", "holder", "fence",
}

func status(addr string) (s map[string]any, err error) {
	err = askJSON(addr, "/fleet/status", &s) // before s is read
	return s, err
}

type enginesCmd struct {
	List    enginesList    `cmd:"" help:"List the engines that a process knows."`
	Explain enginesExplain `cmd:"" help:"Say why an engine gets requests, or none."`
}

type enginesList struct {
	toFleet
	Service string `help:"Of this service only." placeholder:"NAME"`
	output
}

func (t toFleet) engines() (all []node.EngineView, err error) {
	err = askJSON(t.Control, "/fleet/engines", &all)
	return all, err
}

// Run lists engines.
func (c enginesList) Run() error {
	all, err := c.engines()
	if err != nil {
		return err
	}
	all = slices.DeleteFunc(all, func(e node.EngineView) bool { return c.Service != "" && e.Service != c.Service })
	if c.Output == "json" {
		return asJSON(all)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tENGINE\tZONE\tSTATE\tHEARD\tSLOTS\tADDRESS")
	for _, e := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1fs\t%d\t%s\n", e.Service, e.ID, e.Zone, e.State, e.HeardS, e.Slots, e.Address)
	}
	return w.Flush()
}

type enginesExplain struct {
	toFleet
	ID string `arg:"" help:"The engine's instance id."`
}

// Run explains an engine.
func (c enginesExplain) Run() error {
	all, err := c.engines()
	if err != nil {
		return err
	}
	for _, e := range all {
		if e.ID == c.ID {
			fmt.Printf("%s of %s at %s in %s, heard %.1f s ago: %s; %s\n", e.ID, e.Service, e.Address, e.Zone, e.HeardS, e.State, e.Says)
			return nil
		}
	}
	return fmt.Errorf("%s is not known at %s: it has not called any process that this one hears of, or is long gone", c.ID, c.Control)
}

type requestCmd struct {
	Explain requestExplain `cmd:"" help:"Say what would become of a request: its route, tenant, service, and engines. Nothing is sent to an engine."`
}

type requestExplain struct {
	toFleet
	URL    string   `arg:"" help:"What is asked for: http://HOST/PATH."`
	Method string   `help:"The method." default:"POST"`
	Header []string `help:"A header, NAME: VALUE; a key is better given by --key-env." short:"H" sep:"none" placeholder:"HEADER"`
	KeyEnv string   `help:"The environment variable that holds the tenant's key." placeholder:"NAME"`
}

// Run asks a router.
func (c requestExplain) Run() error {
	u, err := url.Parse(c.URL)
	if err != nil || u.Host == "" {
		return badConfig{fmt.Errorf("%q is no http://HOST/PATH", c.URL)}
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, cmp.Or(u.RequestURI(), "/"), u.Host)
	for _, h := range c.Header {
		head += h + "\r\n"
	}
	if c.KeyEnv != "" {
		head += "X-Credential: " + os.Getenv(c.KeyEnv) + "\r\n"
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+c.Control+"/fleet/explain", strings.NewReader(head))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "text/plain")
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := answered(resp)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, b, "", "  "); err != nil {
		return err
	}
	_, err = out.WriteTo(os.Stdout)
	return err
}
