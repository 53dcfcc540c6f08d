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
	Status fleetStatus `cmd:"" help:"Print the status of processes of the fleet."`
	Watch  fleetWatch  `cmd:"" help:"Print a line whenever the status of a process changes, until interrupted."`
	Remove fleetRemove `cmd:"" help:"Remove a voter that is permanently lost. A replica that is still running joins again."`
}

type fleetRemove struct {
	Name    string `arg:"" help:"The node_name of the machine."`
	Control string `help:"The control address of any process of the fleet." required:"" placeholder:"IP:PORT"`
}

// Run sends the request once. The command can be repeated if the outcome is unknown.
func (c fleetRemove) Run() error {
	resp, err := doRequest(http.MethodDelete, "http://"+c.Control+"/fleet/members/"+url.PathEscape(c.Name), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := readResponse(resp); err != nil {
		return err
	}
	fmt.Printf("%s is no longer a member\n", c.Name)
	return nil
}

// doRequest sends a request to the control plane, with a timeout of five seconds. The caller closes the body of the response.
func doRequest(method, url string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, url, body)
	if err != nil {
		return nil, err
	}
	return (&http.Client{Timeout: 5 * time.Second}).Do(req)
}

// getJSON sends a GET request to a control address and decodes the JSON of the response into result.
func getJSON(addr, path string, result any) error {
	resp, err := doRequest(http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := readResponse(resp)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, result)
}

// readResponse returns the body of a response of the control plane. If the status is not 200, it returns an error with the status
// and the error message of the response.
func readResponse(resp *http.Response) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(resp.Body, fleetconfig.MaxBytes+1))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		var response struct {
			Error string `cbor:"error_message"`
		}
		_ = cbor.Unmarshal(b, &response) // a response in another format has no message
		return nil, fmt.Errorf("%s: %s", resp.Status, response.Error)
	}
	return b, nil
}

type fleetStatus struct {
	Control []string `help:"Control addresses of the processes." required:"" placeholder:"IP:PORT"`
	Output  string   `help:"Output format: ${enum}." enum:"table,json" default:"table"`
}

// Run prints the status of the process at each address. If an address does not respond, its line has the error, and the exit code
// is 1.
func (c fleetStatus) Run() error {
	var statuses []map[string]any
	failed := 0
	for _, addr := range c.Control {
		s, err := fetchStatus(addr)
		if err != nil {
			s = map[string]any{"error": err.Error()}
			failed++
		}
		s["address"] = addr
		statuses = append(statuses, s)
	}
	if c.Output == "json" {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		if err := e.Encode(statuses); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "NODE\tZONE\tREADY\tREVISION\tPLACE\tNEWEST\tPEERS\tENGINES\tCHAIN\tVOTES\tHOLDER\tADDRESS")
		for _, s := range statuses {
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
	if failed > 0 {
		return fmt.Errorf("no status from %d of %d processes", failed, len(statuses))
	}
	return nil
}

type fleetWatch struct {
	fleetClient
	Every time.Duration `help:"Interval between status requests." default:"1s"`
	For   time.Duration `help:"Exit after this time; 0 = never."`
}

// Run prints the keys of the status whose values have changed since the last request.
//
//nolint:unparam // kong expects Run to return an error
func (c fleetWatch) Run() error {
	previous, start := map[string]any{}, time.Now()
	for {
		current, err := fetchStatus(c.Control)
		if err != nil {
			current = map[string]any{"error": err.Error()}
		}
		var changes []string
		for _, k := range watchedKeys {
			if current[k] != previous[k] && current[k] != nil {
				changes = append(changes, fmt.Sprintf("%s=%v", k, current[k]))
			}
		}
		if len(changes) > 0 {
			fmt.Printf("%s %s\n", time.Now().UTC().Format(time.TimeOnly), strings.Join(changes, " "))
		}
		previous = current
		if c.For > 0 && time.Since(start)+c.Every > c.For {
			return nil
		}
		time.Sleep(c.Every)
	}
}

// watchedKeys are the keys of /fleet/status whose changes fleet watch prints.
var watchedKeys = []string{
	"error", "node", "zone", "ready", "revision", "place", "newest_place", "peers", "keepers", "engines", "members", "votes", "holder", "fence",
}

// fetchStatus returns the response of /fleet/status of a process.
func fetchStatus(addr string) (s map[string]any, err error) {
	err = getJSON(addr, "/fleet/status", &s) // a statement of its own, so that s is set before it is returned
	return s, err
}

type enginesCmd struct {
	List    enginesList    `cmd:"" help:"List the engines that a process of the fleet knows."`
	Explain enginesExplain `cmd:"" help:"Explain why an engine gets requests or not."`
}

type enginesList struct {
	fleetClient
	Service string `help:"Only engines of this service." placeholder:"NAME"`
	outputFormat
}

// engines returns the engines that the process knows.
func (fc fleetClient) engines() (views []node.EngineView, err error) {
	err = getJSON(fc.Control, "/fleet/engines", &views)
	return views, err
}

// Run lists engines, of all services or of one.
func (c enginesList) Run() error {
	engines, err := c.engines()
	if err != nil {
		return err
	}
	engines = slices.DeleteFunc(engines, func(e node.EngineView) bool { return c.Service != "" && e.Service != c.Service })
	if c.Output == "json" {
		return printJSON(engines)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tENGINE\tZONE\tSTATE\tHEARD\tSLOTS\tADDRESS")
	for _, e := range engines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1fs\t%d\t%s\n", e.Service, e.ID, e.Zone, e.State, e.SinceHeartbeatS, e.Slots, e.Address)
	}
	return w.Flush()
}

type enginesExplain struct {
	fleetClient
	ID string `arg:"" help:"The engine's instance id."`
}

// Run prints the state of an engine and explains whether the engine gets requests.
func (c enginesExplain) Run() error {
	engines, err := c.engines()
	if err != nil {
		return err
	}
	for _, e := range engines {
		if e.ID == c.ID {
			fmt.Printf("%s of %s at %s in %s, last heartbeat %.1f s ago: %s; %s\n", e.ID, e.Service, e.Address, e.Zone, e.SinceHeartbeatS, e.State, e.Explanation)
			return nil
		}
	}
	return fmt.Errorf("%s is not known at %s: no heartbeat of the engine is known to this process, or the engine was removed", c.ID, c.Control)
}

type requestCmd struct {
	Explain requestExplain `cmd:"" help:"Explain how a request would be routed: its route, tenant, service and engines. Nothing is sent to an engine."`
}

type requestExplain struct {
	fleetClient
	URL    string   `arg:"" help:"The URL of the request: http://HOST/PATH."`
	Method string   `help:"The method of the request." default:"POST"`
	Header []string `help:"A header of the request, as NAME: VALUE. Use --key-env for an API key." short:"H" sep:"none" placeholder:"HEADER"`
	KeyEnv string   `help:"The environment variable that contains the API key of the tenant." placeholder:"NAME"`
}

// Run sends the head of the request to a router, and prints how the router would route it.
func (c requestExplain) Run() error {
	u, err := url.Parse(c.URL)
	if err != nil || u.Host == "" {
		return configError{fmt.Errorf("%q is not a URL of the form http://HOST/PATH", c.URL)}
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
	b, err := readResponse(resp)
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
