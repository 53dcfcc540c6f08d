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
	Find traceFind `cmd:"" help:"List the requests recorded in the files that [trace.file] writes."`
	Show traceShow `cmd:"" help:"Draw a trace as a waterfall: a bar for each request and attempt, with its decision and result."`
}

type traceFind struct {
	File       string        `help:"The file that [trace.file] names; rotated files are read too." required:"" placeholder:"FILE"`
	Class      string        `help:"Only requests of this class." placeholder:"NAME"`
	Team       string        `help:"Only requests of this team." placeholder:"NAME"`
	Host       string        `help:"Only requests with an attempt at this engine." placeholder:"NAME"`
	Outcome    string        `help:"Only requests with this outcome: served, broken, refused, failed, gone or open." placeholder:"NAME"`
	SlowerThan time.Duration `help:"Only requests that took at least this long until their first event, or until their end if there was none." placeholder:"2s"`
	Late       bool          `help:"Only requests that missed a latency target of their class."`
	Retried    bool          `help:"Only requests that are a client's retry of an earlier one."`
	Since      string        `help:"Only requests from this time on: a time in RFC 3339, or a duration before now." placeholder:"15m"`
	Until      string        `help:"Only requests before this time, in the same form as --since." placeholder:"5m"`
	Limit      int           `help:"List at most this many requests, the latest ones." default:"50"`
	JSON       bool          `name:"json" help:"Print each request as a line of JSON."`
}

// Run lists records. It is not an error to find none.
func (f traceFind) Run() error {
	filter := show.Filter{Class: f.Class, Team: f.Team, Host: f.Host, SlowerThan: f.SlowerThan, Late: f.Late, Retried: f.Retried}
	var err error
	if f.Outcome != "" {
		if filter.Outcome, err = trace.ParseOutcome(f.Outcome); err != nil {
			return configError{fmt.Errorf("--outcome: %w", err)}
		}
	}
	if filter.Since, err = parseTime(f.Since, time.Now()); err != nil {
		return configError{fmt.Errorf("--since: %w", err)}
	}
	if filter.Until, err = parseTime(f.Until, time.Now()); err != nil {
		return configError{fmt.Errorf("--until: %w", err)}
	}
	if f.Limit < 1 {
		return configError{errors.New("--limit: must be at least 1")}
	}
	var found []*trace.Record
	total := 0
	err = show.Scan(f.File, os.Stderr, func(record *trace.Record) error {
		if filter.Match(record) {
			total++
			found = append(found, record)
			if len(found) >= 2*f.Limit { // only the latest are needed; this bounds the memory
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
		fmt.Fprintf(os.Stderr, "showing the latest %d of %d requests\n", len(found), total)
	}
	return nil
}

// parseTime parses a time in RFC 3339, or a duration before now, into Unix time. It returns 0 for "".
func parseTime(s string, now time.Time) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	if ago, err := time.ParseDuration(s); err == nil {
		return time.Duration(now.Add(-ago).UnixNano()), nil
	}
	at, err := time.Parse(time.RFC3339Nano, s)
	if err != nil {
		return 0, fmt.Errorf("%q is neither a time such as 2026-12-01T12:00:00Z nor a duration such as 15m", s)
	}
	return time.Duration(at.UnixNano()), nil
}

type traceShow struct {
	ID    string `arg:"" help:"A trace id or a unique prefix of one."`
	File  string `help:"The file that [trace.file] names; rotated files are read too." required:"" placeholder:"FILE"`
	Width int    `help:"Width of the drawing in characters; 0 = the value of COLUMNS, or 120." default:"0"`
	JSON  bool   `name:"json" help:"Print each record as a line of JSON."`
}

// Run draws a trace and the traces that are linked to it.
func (s traceShow) Run() error {
	var records []*trace.Record
	ids := map[trace.TraceID]bool{}
	err := show.Scan(s.File, os.Stderr, func(record *trace.Record) error {
		records = append(records, record)
		if strings.HasPrefix(record.Trace.String(), strings.ToLower(s.ID)) {
			ids[record.Trace] = true
		}
		return nil
	})
	if err != nil {
		return err
	}
	if len(ids) != 1 {
		return fmt.Errorf("%d trace ids begin with %q in %s; exactly one must", len(ids), s.ID, s.File)
	}
	for id := range ids {
		operation := show.Operation(records, id)
		if s.JSON {
			return show.JSON(os.Stdout, operation)
		}
		if s.Width == 0 {
			if s.Width, _ = strconv.Atoi(os.Getenv("COLUMNS")); s.Width == 0 {
				s.Width = 120
			}
		}
		show.Waterfall(os.Stdout, operation, s.Width)
	}
	return nil
}
