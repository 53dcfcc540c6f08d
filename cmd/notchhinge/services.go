package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"notchhinge/internal/config/operatorconfig"
	"notchhinge/internal/router"
)

// controlSocket sends requests to the control socket of a running router.
type controlSocket struct {
	Control string `help:"The router's control socket: path in [control] of its settings." placeholder:"PATH"`
}

// get sends a GET request and decodes the JSON of the response into result.
func (c *controlSocket) get(path string, result any) error {
	const timeout = 5 * time.Second
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", c.Control)
		},
	}}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://control"+path, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
		return fmt.Errorf("the router returned an error: %s", strings.TrimSpace(string(message)))
	}
	return json.NewDecoder(resp.Body).Decode(result)
}

type poolsCmd struct {
	controlSocket
	JSON bool `help:"Print JSON."`
}

// Run prints the state and counters of each pool of a running router.
func (p poolsCmd) Run() error {
	if p.Control == "" {
		return errors.New("--control is required")
	}
	var state router.State
	if err := p.get("/pools", &state); err != nil {
		return err
	}
	if p.JSON {
		return json.NewEncoder(os.Stdout).Encode(state)
	}
	return printPools(os.Stdout, state.Pools)
}

func printPools(out io.Writer, pools []router.PoolState) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "POOL\tDISCOVERY\tREADY\tOPEN\tGUARANTEED\tMOST\tLINES\tBODIES\tTAKEN\tSERVED\tREFUSED\tFAILED\tBROKEN\tGONE\tDECLINED\tLEGS")
	for _, s := range pools {
		name := s.Name
		if name == "" {
			name = "-"
		}
		if s.IsEnding {
			name += " (leaving)"
		}
		fmt.Fprintf(w, "%s\t%s\t%d/%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", name, s.Discovery, s.Ready, s.Hosts,
			s.Open, s.RequestGuarantee, s.MaxRequests, s.UpstreamConns, s.BodyBytes, s.Received, s.Served, s.Rejected, s.Failed, s.Broken, s.ClientsLeft, s.RejectedByFrontend, s.Attempts)
	}
	return w.Flush()
}

type routesCmd struct {
	Explain routesExplain `cmd:"" help:"Show which route a request takes and why, and which other routes nearly match."`
}

type routesExplain struct {
	controlSocket
	Config string   `help:"The operator's settings; use these instead of a running router." type:"existingfile" placeholder:"FILE"`
	Host   string   `help:"The request's host." required:""`
	Path   string   `help:"The request's path." default:"/v1/chat/completions"`
	Method string   `help:"The request's method." default:"POST"`
	Class  string   `help:"The request's class."`
	Header []string `help:"A header of the request." placeholder:"NAME:VALUE"`
	JSON   bool     `help:"Print JSON."`
}

// Run explains how a request is routed, according to a file or to a running router.
func (c routesExplain) Run() error {
	params := url.Values{"host": {c.Host}, "path": {c.Path}, "method": {c.Method}, "class": {c.Class}, "header": c.Header}
	var e *router.Explanation
	switch {
	case (c.Config == "") == (c.Control == ""):
		return errors.New("exactly one of --config and --control is required")
	case c.Control != "":
		if err := c.get("/routes/explain?"+params.Encode(), &e); err != nil {
			return err
		}
	default:
		f, err := operatorconfig.Load(c.Config, nil)
		if err != nil {
			return configError{err}
		}
		t, errs := f.Table(func(string) (int, bool) { return 0, true })
		if len(errs) > 0 { // not reached: Load has checked the file
			return configError{errs[0]}
		}
		if e, err = router.Explain(t, params); err != nil {
			return configError{err}
		}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(e)
	}
	request := e.Method + " " + e.Host + e.Path
	if e.Class != "" {
		request += " of class " + e.Class
	}
	if e.Service == "" {
		fmt.Printf("%s: no route matches (404)\n", request)
	} else {
		fmt.Printf("%s is routed to service %s\n", request, e.Service)
	}
	for _, r := range e.Routes {
		fmt.Printf("  %-8s %s\n           %s\n", r.Service, r.Route, r.Reason)
	}
	return nil
}
