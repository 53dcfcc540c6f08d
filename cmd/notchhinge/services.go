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

// control is the way to a running router's control socket.
type control struct {
	Control string `help:"The router's control socket, as [control] names it." placeholder:"PATH"`
}

// get asks a running router.
func (c *control) get(path string, into any) error {
	const wait = 5 * time.Second
	web := &http.Client{Timeout: wait, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", c.Control)
		},
	}}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://control"+path, nil)
	if err != nil {
		return err
	}
	resp, err := web.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
		return fmt.Errorf("the router says: %s", strings.TrimSpace(string(text)))
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

type pools struct {
	control
	JSON bool `help:"Print JSON."`
}

// Run prints what each pool of a running router holds.
func (p pools) Run() error {
	if p.Control == "" {
		return errors.New("--control is wanted")
	}
	var all router.State
	if err := p.get("/pools", &all); err != nil {
		return err
	}
	if p.JSON {
		return json.NewEncoder(os.Stdout).Encode(all)
	}
	return table(os.Stdout, all.Pools)
}

func table(to io.Writer, all []router.PoolState) error {
	w := tabwriter.NewWriter(to, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "POOL\tDISCOVERY\tREADY\tOPEN\tGUARANTEED\tMOST\tLINES\tBODIES\tTAKEN\tSERVED\tREFUSED\tFAILED\tBROKEN\tGONE\tDECLINED\tLEGS")
	for _, s := range all {
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
	Explain explain `cmd:"" help:"Say which route a request takes and why, and which others were close."`
}

type explain struct {
	control
	Config string   `help:"The operator's settings, where no router is asked." type:"existingfile" placeholder:"FILE"`
	Host   string   `help:"The request's host." required:""`
	Path   string   `help:"The request's path." default:"/v1/chat/completions"`
	Method string   `help:"The request's method." default:"POST"`
	Class  string   `help:"The request's class."`
	Header []string `help:"A header as name:value." placeholder:"NAME:VALUE"`
	JSON   bool     `help:"Print JSON."`
}

// Run explains how a request is led, by a file or by a running router.
func (x explain) Run() error {
	asked := url.Values{"host": {x.Host}, "path": {x.Path}, "method": {x.Method}, "class": {x.Class}, "header": x.Header}
	var e *router.Explanation
	switch {
	case (x.Config == "") == (x.Control == ""):
		return errors.New("--config or --control is wanted, and not both")
	case x.Control != "":
		if err := x.get("/routes/explain?"+asked.Encode(), &e); err != nil {
			return err
		}
	default:
		f, err := operatorconfig.Load(x.Config, nil)
		if err != nil {
			return badConfig{err}
		}
		t, faults := f.Table(func(string) (int, bool) { return 0, true })
		if len(faults) > 0 { // the file was checked for these
			return badConfig{faults[0]}
		}
		if e, err = router.Explain(t, asked); err != nil {
			return badConfig{err}
		}
	}
	if x.JSON {
		return json.NewEncoder(os.Stdout).Encode(e)
	}
	what := e.Method + " " + e.Host + e.Path
	if e.Class != "" {
		what += " of class " + e.Class
	}
	if e.Service == "" {
		fmt.Printf("%s: no route takes it (404)\n", what)
	} else {
		fmt.Printf("%s goes to service %s\n", what, e.Service)
	}
	for _, r := range e.Routes {
		fmt.Printf("  %-8s %s\n           %s\n", r.Service, r.Route, r.Reason)
	}
	return nil
}
