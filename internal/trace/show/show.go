// Package show finds records of tries in a sink's files and draws them for a reader: a table of what was found, and a
// waterfall of one step with its tries and legs.
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

// Filter says which records are wanted; a zero field asks for nothing.
type Filter struct {
	Class      string
	Team       string
	Host       string // one of the legs went there
	Outcome    trace.Outcome
	SlowerThan time.Duration // until the first event, or the end where there was none
	Late       bool
	Retried    bool
	Since      time.Duration // Unix time
	Until      time.Duration
}

// Match tells whether a record is wanted.
func (f *Filter) Match(t *trace.Record) bool {
	slow := t.FirstEvent
	if slow == 0 {
		slow = t.End
	}
	return (f.Class == "" || f.Class == t.Class) && (f.Team == "" || f.Team == t.Team) &&
		(f.Outcome == trace.Unknown || f.Outcome == t.Outcome) && slow >= f.SlowerThan &&
		(!f.Late || t.Late) && (!f.Retried || t.Number > 1 || t.Reasons&trace.ForRetry != 0) &&
		t.At >= f.Since && (f.Until == 0 || t.At < f.Until) &&
		(f.Host == "" || slices.ContainsFunc(t.Attempts, func(l trace.Attempt) bool { return l.Host == f.Host }))
}

// Scan calls each for every record in a sink's files, the oldest first. What is damaged is told to warn.
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
		_ = f.Close() // it was only read
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if damage != (export.Damage{}) {
			fmt.Fprintf(warn, "%s: %v\n", name, damage)
		}
	}
	return nil
}

// Table writes what was found, a line each.
func Table(w io.Writer, tries []*trace.Record) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "TIME\tTRACE\tTRY\tCLASS\tOUTCOME\tFIRST\tTOTAL\tLEGS\tMOST TIME IN\tKEPT FOR")
	for _, y := range tries {
		first := "-"
		if y.FirstEvent > 0 {
			first = millis(y.FirstEvent)
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", clock(y.At), y.Trace, y.Number, y.Class, outcome(y), first,
			millis(y.End), legs(y), most(y), strings.Join(y.Reasons.Names(), ","))
	}
	return t.Flush()
}

func outcome(y *trace.Record) string {
	s := y.Outcome.String()
	if y.Late {
		s += ",late"
	}
	return s
}

func legs(y *trace.Record) string {
	results := make([]string, len(y.Attempts))
	for i := range y.Attempts {
		results[i] = y.Attempts[i].Result.String()
	}
	return strings.Join(results, ">")
}

// most names the phase that took most of a try's time before its first event, or of all where there was none.
func most(y *trace.Record) string {
	best := trace.Queue
	for p, d := range y.Phases {
		if y.FirstEvent > 0 && (trace.Phase(p) == trace.Stream || trace.Phase(p) == trace.Relay) {
			continue
		}
		if d > y.Phases[best] {
			best = trace.Phase(p)
		}
	}
	return fmt.Sprintf("%v %s", best, millis(y.Phases[best]))
}

// Operation picks the tries of one step out of all records: those of the trace, and those linked to them. They are ordered
// by their beginning.
func Operation(all []*trace.Record, id trace.TraceID) []*trace.Record {
	ids := map[trace.TraceID]bool{id: true}
	for more := true; more; {
		more = false
		for _, t := range all {
			before := t.Previous.Trace
			if before == (trace.TraceID{}) || ids[t.Trace] == ids[before] {
				continue
			}
			ids[t.Trace], ids[before], more = true, true, true
		}
	}
	var step []*trace.Record
	for _, t := range all {
		if ids[t.Trace] {
			step = append(step, t)
		}
	}
	slices.SortStableFunc(step, func(x, y *trace.Record) int { return int(max(min(x.At-y.At, 1), -1)) })
	return step
}

// JSON writes records for scripts: a line each, with the names that the sink's file has and the phases by name.
func JSON(w io.Writer, tries []*trace.Record) error {
	enc := json.NewEncoder(w)
	for _, t := range tries {
		phases := map[string]float64{}
		for p, d := range t.Phases {
			if d > 0 {
				phases[trace.Phase(p).String()] = float64(d) / 1e6
			}
		}
		if err := enc.Encode(struct {
			*trace.Record
			Time     time.Time          `json:"time"`
			Reasons  []string           `json:"reasons"`
			PhasesMS map[string]float64 `json:"phases"` // milliseconds
		}{t, time.Unix(0, int64(t.At)).UTC(), t.Reasons.Names(), phases}); err != nil {
			return err
		}
	}
	return nil
}

// marks draw the phases of a leg.
var marks = [trace.Phases]byte{
	trace.Queue: 'q', trace.Pending: '_', trace.Line: 'l', trace.Connect: 'c', trace.Write: 'w', trace.Wait: '.',
	trace.Head: 'h', trace.Bind: 'b', trace.Stream: '=', trace.Relay: '=', trace.Close: '-', trace.Answer: 'a',
}

// Waterfall draws a step: its tries one below another on one scale, and below each its legs. width is that of the
// whole drawing in characters, 60 at least.
func Waterfall(w io.Writer, step []*trace.Record, width int) {
	if len(step) == 0 {
		return
	}
	begin, end := step[0].At, step[0].At
	for _, t := range step {
		end = max(end, t.At+t.End)
		for i := range t.Attempts {
			end = max(end, t.At+t.Attempts[i].Ended)
		}
	}
	const label = 9
	s := scale{begin: begin, span: max(end-begin, 1), width: max(width, 60) - label - 2}
	first := step[0]
	fmt.Fprintf(w, "trace %v  %s  class %s", first.Trace, plural(len(step), "try", "tries"), first.Class)
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
	for i, t := range step {
		fmt.Fprintf(w, "try %-5d|%s| %s %s", t.Number, s.bar(t.At, 0, t.End, '#'), t.Router, outcome(t))
		if t.Why != 0 {
			fmt.Fprintf(w, " (%v)", t.Why)
		}
		fmt.Fprintf(w, " after %s", millis(t.End))
		if t.FirstEvent > 0 {
			fmt.Fprintf(w, ", first event %s of %s", millis(t.FirstEvent), millis(t.TargetLatency))
		}
		if t.RetryAfter > 0 {
			fmt.Fprintf(w, ", come back after %s", millis(t.RetryAfter))
		}
		fmt.Fprintf(w, "; %.0f tokens in, %d out, call %s", t.PromptTokens, t.OutputTokens, t.CallID)
		if i > 0 && t.Trace != first.Trace {
			fmt.Fprintf(w, ", trace %v", t.Trace)
		}
		fmt.Fprintln(w)
		for n := range t.Attempts {
			l := &t.Attempts[n]
			fmt.Fprintf(w, "  leg %-3d|%s| %s %v -> %v", n, s.leg(t, l), l.Host, l.Why, l.Result)
			if l.TransportResult != l.Result && l.TransportResult != trace.None {
				fmt.Fprintf(w, " (its line: %v after %s)", l.TransportResult, millis(l.Ended-l.Sent))
			}
			if l.StaleConnection {
				fmt.Fprint(w, " on a stale line")
			}
			fmt.Fprintln(w)
		}
		fmt.Fprintf(w, "  %-7s %s\n", "phases", phases(t))
	}
	fmt.Fprintln(w, "marks: l line, c connect, w write, . silent host, h head, b bind, = stream, x called off; q queue, _ held, a answer")
}

func phases(t *trace.Record) string {
	var parts []string
	for p, d := range t.Phases {
		if d >= 50*time.Microsecond {
			parts = append(parts, trace.Phase(p).String()+" "+millis(d))
		}
	}
	return strings.Join(parts, ", ")
}

// scale maps times to columns.
type scale struct {
	begin, span time.Duration
	width       int
}

func (s scale) column(at time.Duration) int {
	return min(max(int(float64(at-s.begin)/float64(s.span)*float64(s.width)), 0), s.width)
}

// paint fills from one time to another, a column at least.
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

func (s scale) leg(t *trace.Record, l *trace.Attempt) []byte {
	line := s.blank()
	connect := trace.Line
	if l.NewConnection {
		connect = trace.Connect
	}
	over := l.Ended
	if l.Reported != 0 && (l.Bound == 0 || over == 0) {
		over = l.Reported
	}
	if over == 0 {
		over = t.End
	}
	if l.Ended > over {
		s.paint(line, t.At+over, t.At+l.Ended, 'x')
	}
	from := l.Sent
	for _, stage := range []struct {
		end time.Duration
		is  trace.Phase
	}{
		{l.Started, trace.Line},
		{l.Connected, connect},
		{l.Written, trace.Write},
		{l.FirstByte, trace.Wait},
		{l.FirstEvent, trace.Head},
		{l.Bound, trace.Bind},
		{over, trace.Stream},
	} {
		end := min(stage.end, over)
		if stage.end == 0 {
			end = over
		}
		// A stage too short for a column of its own shows only where nothing else does.
		if s.column(t.At+end) > s.column(t.At+from) || line[min(s.column(t.At+from), s.width-1)] == ' ' {
			s.paint(line, t.At+from, t.At+end, marks[stage.is])
		}
		if from = max(end, from); stage.end == 0 || from >= over {
			break
		}
	}
	return line
}

// ruler marks the scale's quarters.
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

func clock(at time.Duration) string {
	return time.Unix(0, int64(at)).UTC().Format("2006-01-02T15:04:05.000Z")
}

func plural(n int, one, more string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprint(n, " ", more)
}
