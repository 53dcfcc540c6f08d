package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"notchhinge/internal/trace"
	"notchhinge/internal/trace/show"
)

type traceCmd struct {
	Find traceFind `cmd:"" help:"List records of requests in the files that [trace.file] writes."`
	Show traceShow `cmd:"" help:"Draw a trace: its requests and attempts as bars, with the decision and the result beside each."`
}

type traceFind struct {
	File       string        `help:"The file of [trace.file]; its older ones are read too." required:"" placeholder:"FILE"`
	Class      string        `help:"Of this class." placeholder:"NAME"`
	Team       string        `help:"Of this team." placeholder:"NAME"`
	Host       string        `help:"With an attempt at this engine." placeholder:"NAME"`
	Outcome    string        `help:"served, broken, refused, failed, gone or open." placeholder:"NAME"`
	SlowerThan time.Duration `help:"That took longer until the first event, or the end where there was none." placeholder:"2s"`
	Late       bool          `help:"Later than their class wants."`
	Retried    bool          `help:"That are a client's retry."`
	Since      string        `help:"From this time on: RFC 3339, or so long ago." placeholder:"15m"`
	Until      string        `help:"Before this time, likewise." placeholder:"5m"`
	Limit      int           `help:"The latest so many at the most." default:"50"`
	JSON       bool          `name:"json" help:"A line of JSON each."`
}

// Run lists records; finding none is no error.
func (f traceFind) Run() error {
	want := show.Filter{Class: f.Class, Team: f.Team, Host: f.Host, SlowerThan: f.SlowerThan, Late: f.Late, Retried: f.Retried}
	var err error
	if f.Outcome != "" {
		if want.Outcome, err = trace.ParseOutcome(f.Outcome); err != nil {
			return badConfig{fmt.Errorf("--outcome: %w", err)}
		}
	}
	if want.Since, err = moment(f.Since, time.Now()); err != nil {
		return badConfig{fmt.Errorf("--since: %w", err)}
	}
	if want.Until, err = moment(f.Until, time.Now()); err != nil {
		return badConfig{fmt.Errorf("--until: %w", err)}
	}
	if f.Limit < 1 {
		return badConfig{errors.New("--limit: 1 or more is wanted")}
	}
	var found []*trace.Try
	total := 0
	err = show.Scan(f.File, os.Stderr, func(t *trace.Try) error {
		if want.Match(t) {
			total++
			found = append(found, t)
			if len(found) >= 2*f.Limit {
				found = append(found[:0], found[len(found)-f.Limit:]...)
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	found = found[max(len(found)-f.Limit, 0):]
	if f.JSON {
		return show.JSON(os.Stdout, found)
	}
	if err := show.Table(os.Stdout, found); err != nil {
		return err
	}
	if total > len(found) {
		fmt.Fprintf(os.Stderr, "the latest %d of %d\n", len(found), total)
	}
	return nil
}

// moment reads a time, or a span before now; "" is 0.
func moment(s string, now time.Time) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	if ago, err := time.ParseDuration(s); err == nil {
		return time.Duration(now.Add(-ago).UnixNano()), nil
	}
	at, err := time.Parse(time.RFC3339Nano, s)
	if err != nil {
		return 0, fmt.Errorf("%q is neither a time such as 2026-12-01T12:00:00Z nor a span such as 15m", s)
	}
	return time.Duration(at.UnixNano()), nil
}

type traceShow struct {
	ID    string `arg:"" help:"Trace id, or the beginning of one."`
	File  string `help:"The file of [trace.file]; its older ones are read too." required:"" placeholder:"FILE"`
	Width int    `help:"Of the drawing, in characters; 0 = that of the terminal by COLUMNS, or 120." default:"0"`
	JSON  bool   `name:"json" help:"The records as lines of JSON."`
}

// Run draws a trace and those that are linked to it.
func (s traceShow) Run() error {
	var all []*trace.Try
	ids := map[trace.TraceID]bool{}
	err := show.Scan(s.File, os.Stderr, func(t *trace.Try) error {
		all = append(all, t)
		if strings.HasPrefix(t.Trace.String(), strings.ToLower(s.ID)) {
			ids[t.Trace] = true
		}
		return nil
	})
	if err != nil {
		return err
	}
	if len(ids) != 1 {
		return fmt.Errorf("%d traces begin with %q in %s", len(ids), s.ID, s.File)
	}
	for id := range ids {
		step := show.Step(all, id)
		if s.JSON {
			return show.JSON(os.Stdout, step)
		}
		if s.Width == 0 {
			if s.Width, _ = strconv.Atoi(os.Getenv("COLUMNS")); s.Width == 0 {
				s.Width = 120
			}
		}
		show.Waterfall(os.Stdout, step, s.Width)
	}
	return nil
}
