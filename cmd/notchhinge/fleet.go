package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/declared"
)

type fleetCmd struct {
	Status fleetStatus `cmd:"" help:"Print what processes of the fleet know, from their control addresses."`
	Remove fleetRemove `cmd:"" help:"Take a keeper out that is gone for good. One that runs is taken in again."`
}

type fleetRemove struct {
	Name    string `arg:"" help:"The node_name of the machine."`
	Control string `help:"A control address, of any process." required:"" placeholder:"IP:PORT"`
}

// Run asks for it once; what is not settled may be asked for again.
func (c fleetRemove) Run() error {
	req, err := http.NewRequest(http.MethodDelete, "http://"+c.Control+"/fleet/members/"+url.PathEscape(c.Name), nil)
	if err != nil {
		return err
	}
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
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

// answered reads an answer of the control plane; one that is not 200 is an error with what it says.
func answered(resp *http.Response) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(resp.Body, declared.MostBytes+1))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		var says struct {
			Error string `cbor:"error_message"`
		}
		cbor.Unmarshal(b, &says) // what cannot be read says nothing
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
	client := http.Client{Timeout: 3 * time.Second}
	var all []map[string]any
	silent := 0
	for _, addr := range c.Control {
		s := map[string]any{"address": addr}
		resp, err := client.Get("http://" + addr + "/fleet/status")
		if err == nil {
			err = json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&s)
			resp.Body.Close()
		}
		if err != nil {
			s["error"] = err.Error()
			silent++
		}
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
		w.Flush()
	}
	if silent > 0 {
		return fmt.Errorf("%d of %d do not answer", silent, len(all))
	}
	return nil
}

type configCmd struct {
	Check    configCheck    `cmd:"" help:"Check a configuration in a file (CBOR, as the operator sends it) and say every fault."`
	Describe configDescribe `cmd:"" help:"Print the newest configuration that the fleet has agreed on, without keys of tenants."`
}

type configCheck struct {
	File string `arg:"" help:"The configuration." type:"existingfile"`
}

// Run checks a file. It needs no fleet.
func (c configCheck) Run() error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	conf, digest, err := declared.Decode(b)
	if err == nil {
		err = conf.Check()
	}
	if err != nil {
		return badConfig{fmt.Errorf("%s: %w", c.File, err)}
	}
	fmt.Printf("revision %d, %d routes, %d services, %d tenants, digest %x\n", conf.Revision, len(conf.Routes), len(conf.Services),
		len(conf.Tenants), digest[:8])
	return nil
}

type configDescribe struct {
	Control string `help:"A control address, of any process." required:"" placeholder:"IP:PORT"`
}

// Run prints a configuration as JSON.
func (c configDescribe) Run() error {
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + c.Control + "/Configuration.Describe")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := answered(resp)
	if err != nil {
		return err
	}
	conf, _, err := declared.Decode(b)
	if err != nil {
		return err
	}
	for i := range conf.Tenants {
		conf.Tenants[i].Keys = []string{fmt.Sprintf("(%d keys)", len(conf.Tenants[i].Keys))}
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(conf)
}
