// Package show searches trace files and displays records: as a table, as JSON, or as a waterfall of one operation with its
// requests and attempts.
package show

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"notchhinge/internal/trace"
	"notchhinge/internal/trace/export"
)

// Filter selects records. A zero field matches all.
type Filter struct {
	Class      string
	Team       string
	Host       string // an attempt was sent to this host
	Outcome    trace.Outcome
	SlowerThan time.Duration // until the first event, or the end if there was none
	Late       bool
	Retried    bool
	Since      time.Duration // Unix time
	Until      time.Duration
}

// Match reports whether the filter selects a record.
func (f *Filter) Match(record *trace.Record) bool {
	latency := record.FirstEvent
	if latency == 0 {
		latency = record.End
	}
	return (f.Class == "" || f.Class == record.Class) && (f.Team == "" || f.Team == record.Team) &&
		(f.Outcome == trace.Unknown || f.Outcome == record.Outcome) && latency >= f.SlowerThan &&
		(!f.Late || record.Late) && (!f.Retried || record.Number > 1 || record.Reasons&trace.ForRetry != 0) &&
		record.At >= f.Since && (f.Until == 0 || record.At < f.Until) &&
		(f.Host == "" || slices.ContainsFunc(record.Attempts, func(a trace.Attempt) bool { return a.Host == f.Host }))
}

// Scan calls each for every record in the trace files of a path, the oldest first. It writes a line to warn for each
// damaged file.
func Scan(path string, warn io.Writer, each func(*trace.Record) error) error {
	files, err := export.Rotated(path)
	if err != nil {
		return err
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		damage, err := export.Read(f, each)
		_ = f.Close() // read only
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if damage != (export.Damage{}) {
			fmt.Fprintf(warn, "%s: %v\n", name, damage)
		}
	}
	return nil
}

// Table writes a table with a line for each record.
func Table(w io.Writer, records []*trace.Record) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tTRACE\tTRY\tCLASS\tOUTCOME\tFIRST\tTOTAL\tLEGS\tMOST TIME IN\tKEPT FOR")
	for _, record := range records {
		first := "-"
		if record.FirstEvent > 0 {
			first = millis(record.FirstEvent)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", timestamp(record.At), record.Trace, record.Number,
			record.Class, outcomeText(record), first,
			millis(record.End), attemptResults(record), longestPhase(record), strings.Join(record.Reasons.Names(), ","))
	}
	return table.Flush()
}

func outcomeText(record *trace.Record) string {
	s := record.Outcome.String()
	if record.Late {
		s += ",late"
	}
	return s
}

func attemptResults(record *trace.Record) string {
	results := make([]string, len(record.Attempts))
	for i := range record.Attempts {
		results[i] = record.Attempts[i].Result.String()
	}
	return strings.Join(results, ">")
}

// longestPhase names the phase that took most of the time until the first event, or of the total time if there was none.
func longestPhase(record *trace.Record) string {
	longest := trace.Queue
	for p, d := range record.Phases {
		if record.FirstEvent > 0 && (trace.Phase(p) == trace.Stream || trace.Phase(p) == trace.Relay) {
			continue
		}
		if d > record.Phases[longest] {
			longest = trace.Phase(p)
		}
	}
	return fmt.Sprintf("%v %s", longest, millis(record.Phases[longest]))
}

// Operation returns the records of one operation: those of the trace, and those linked to it, ordered by time.
func Operation(all []*trace.Record, id trace.TraceID) []*trace.Record {
	ids := map[trace.TraceID]bool{id: true}
	for more := true; more; {
		more = false
		for _, record := range all {
			previous := record.Previous.Trace
			if previous == (trace.TraceID{}) || ids[record.Trace] == ids[previous] {
				continue
			}
			ids[record.Trace], ids[previous], more = true, true, true
		}
	}
	var records []*trace.Record
	for _, record := range all {
		if ids[record.Trace] {
			records = append(records, record)
		}
	}
	slices.SortStableFunc(records, func(a, b *trace.Record) int { return int(max(min(a.At-b.At, 1), -1)) })
	return records
}

// JSON writes a line of JSON for each record, with the field names of the trace file and with the phases by name.
func JSON(w io.Writer, records []*trace.Record) error {
	enc := json.NewEncoder(w)
	for _, record := range records {
		phases := map[string]float64{}
		for p, d := range record.Phases {
			if d > 0 {
				phases[trace.Phase(p).String()] = float64(d) / 1e6
			}
		}
		if err := enc.Encode(struct {
			*trace.Record
			Time     time.Time          `json:"time"`
			Reasons  []string           `json:"reasons"`
			PhasesMS map[string]float64 `json:"phases"` // milliseconds
		}{record, time.Unix(0, int64(record.At)).UTC(), record.Reasons.Names(), phases}); err != nil {
			return err
		}
	}
	return nil
}

// marks are the characters that represent the phases of an attempt.
var marks = [trace.NumPhases]byte{
	trace.Queue: 'q', trace.Pending: '_', trace.Acquire: 'l', trace.Connect: 'c', trace.Write: 'w', trace.Wait: '.',
	trace.Head: 'h', trace.Bind: 'b', trace.Stream: '=', trace.Relay: '=', trace.Close: '-', trace.Answer: 'a',
}

// Waterfall draws the requests of an operation on one time scale, each followed by its attempts. width is the width of
// the whole drawing in characters, at least 60.
func Waterfall(w io.Writer, records []*trace.Record, width int) {
	if len(records) == 0 {
		return
	}
	begin, end := records[0].At, records[0].At
	for _, record := range records {
		end = max(end, record.At+record.End)
		for i := range record.Attempts {
			end = max(end, record.At+record.Attempts[i].Ended)
		}
	}
	const label = 9
	s := scale{begin: begin, span: max(end-begin, 1), width: max(width, 60) - label - 2}
	first := records[0]
	fmt.Fprintf(w, "trace %v  %s  class %s", first.Trace, plural(len(records), "try", "tries"), first.Class)
	if first.Pool != "" {
		fmt.Fprintf(w, "  pool %s", first.Pool)
	}
	if first.Team != "" {
		fmt.Fprintf(w, "  team %s", first.Team)
	}
	if first.Session != 0 {
		fmt.Fprintf(w, "  conversation %016x", first.Session)
	}
	fmt.Fprintf(w, "  over %s\n", millis(end-begin))
	fmt.Fprintf(w, "%*s|%s|\n", label, "", s.ruler())
	for i, record := range records {
		fmt.Fprintf(w, "try %-5d|%s| %s %s", record.Number, s.bar(record.At, 0, record.End, '#'), record.Router,
			outcomeText(record))
		if record.Why != 0 {
			fmt.Fprintf(w, " (%v)", record.Why)
		}
		fmt.Fprintf(w, " after %s", millis(record.End))
		if record.FirstEvent > 0 {
			fmt.Fprintf(w, ", first event %s of %s", millis(record.FirstEvent), millis(record.TargetLatency))
		}
		if record.RetryAfter > 0 {
			fmt.Fprintf(w, ", come back after %s", millis(record.RetryAfter))
		}
		fmt.Fprintf(w, "; %.0f tokens in, %d out, call %s", record.PromptTokens, record.OutputTokens, record.CallID)
		if i > 0 && record.Trace != first.Trace {
			fmt.Fprintf(w, ", trace %v", record.Trace)
		}
		fmt.Fprintln(w)
		for n := range record.Attempts {
			a := &record.Attempts[n]
			fmt.Fprintf(w, "  leg %-3d|%s| %s %v -> %v", n, s.attempt(record, a), a.Host, a.Why, a.Result)
			if a.TransportResult != a.Result && a.TransportResult != trace.None {
				fmt.Fprintf(w, " (its line: %v after %s)", a.TransportResult, millis(a.Ended-a.Sent))
			}
			if a.StaleConnection {
				fmt.Fprint(w, " on a stale line")
			}
			fmt.Fprintln(w)
		}
		fmt.Fprintf(w, "  %-7s %s\n", "phases", phases(record))
	}
	fmt.Fprintln(w, "marks: l line, c connect, w write, . silent host, h head, b bind, = stream, x called off; q queue, _ held, a answer")
}

func phases(record *trace.Record) string {
	var parts []string
	for p, d := range record.Phases {
		if d >= 50*time.Microsecond {
			parts = append(parts, trace.Phase(p).String()+" "+millis(d))
		}
	}
	return strings.Join(parts, ", ")
}

// scale maps times to columns of the drawing.
type scale struct {
	begin, span time.Duration
	width       int
}

func (s scale) column(at time.Duration) int {
	return min(max(int(float64(at-s.begin)/float64(s.span)*float64(s.width)), 0), s.width)
}

// paint fills the columns between two times, at least one.
func (s scale) paint(line []byte, from, to time.Duration, mark byte) {
	first := min(s.column(from), s.width-1)
	for i := first; i < max(s.column(to), first+1); i++ {
		line[i] = mark
	}
}

func (s scale) blank() []byte { return []byte(strings.Repeat(" ", s.width)) }

func (s scale) bar(at, from, to time.Duration, mark byte) []byte {
	line := s.blank()
	s.paint(line, at+from, at+to, mark)
	return line
}

func (s scale) attempt(record *trace.Record, a *trace.Attempt) []byte {
	line := s.blank()
	connect := trace.Acquire
	if a.NewConnection {
		connect = trace.Connect
	}
	ended := a.Ended
	if a.Reported != 0 && (a.Bound == 0 || ended == 0) {
		ended = a.Reported
	}
	if ended == 0 {
		ended = record.End
	}
	if a.Ended > ended {
		s.paint(line, record.At+ended, record.At+a.Ended, 'x')
	}
	from := a.Sent
	for _, stage := range []struct {
		end   time.Duration
		phase trace.Phase
	}{
		{a.Started, trace.Acquire},
		{a.Connected, connect},
		{a.Written, trace.Write},
		{a.FirstByte, trace.Wait},
		{a.FirstEvent, trace.Head},
		{a.Bound, trace.Bind},
		{ended, trace.Stream},
	} {
		end := min(stage.end, ended)
		if stage.end == 0 {
			end = ended
		}
		// A stage that is shorter than a column is drawn only in an empty column.
		if s.column(record.At+end) > s.column(record.At+from) || line[min(s.column(record.At+from), s.width-1)] == ' ' {
			s.paint(line, record.At+from, record.At+end, marks[stage.phase])
		}
		if from = max(end, from); stage.end == 0 || from >= ended {
			break
		}
	}
	return line
}

// ruler returns a line that marks the quarters of the scale.
func (s scale) ruler() []byte {
	line := []byte(strings.Repeat("-", s.width))
	for q := range 4 {
		copy(line[q*s.width/4:], "+"+millis(time.Duration(q)*s.span/4))
	}
	return line
}

func millis(d time.Duration) string {
	switch {
	case d < 10*time.Millisecond:
		return fmt.Sprintf("%.1fms", float64(d)/1e6)
	case d < time.Second:
		return fmt.Sprintf("%.0fms", float64(d)/1e6)
	}
	return fmt.Sprintf("%.2fs", d.Seconds())
}

func timestamp(at time.Duration) string {
	return time.Unix(0, int64(at)).UTC().Format("2006-01-02T15:04:05.000Z")
}

func plural(n int, one, more string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprint(n, " ", more)
}
