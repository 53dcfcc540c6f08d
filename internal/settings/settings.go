// Package settings reads the operator's own file (deploy/notchhinge.toml): one table a subsystem, each off without
// its table. It owns the file's form, its schema and the report of every fault in it; what a table means is its
// subsystem's. The platform's JSON is read by internal/config.
package settings

import (
	"time"
)

// File is the whole file. A nil table is off.
type File struct {
	Trace     *Trace     `toml:"trace" jsonschema:"description=Journeys of requests: what is recorded and where it goes. Without this table nothing is."`
	Batch     *Batch     `toml:"batch" jsonschema:"description=The batch front: files of requests. Off without this table. It needs one contract at least."`
	Contracts []Contract `toml:"contract" jsonschema:"description=What a team may do on the batch front."`
}

// Trace is the table of internal/trace and of where its records go.
type Trace struct {
	Share     *float64  `toml:"share" jsonschema:"minimum=0,maximum=1,default=0.01,description=share of ordinary requests that is kept; failed late and retried ones always are"`
	PerSecond *float64  `toml:"per_second" jsonschema:"minimum=0,default=10,description=ordinary requests kept a second at the most; 0 = no bound"`
	Margin    *Duration `toml:"margin" jsonschema:"default=20ms,description=an answer so near to its aim counts as late"`
	TellHosts string    `toml:"tell_hosts" jsonschema:"enum=share,enum=all,default=share,description=whose traceparent says 'sampled' to issuer hosts: those of the share or all"`
	MemoryMB  int       `toml:"memory_mb" jsonschema:"minimum=1,maximum=1024,default=1,description=memory for finished requests that wait for a retry of theirs"`
	OTLP      *OTLP     `toml:"otlp" jsonschema:"description=a collector that takes OTLP over HTTP"`
	File      *Sink     `toml:"file" jsonschema:"description=files for notchhinge trace find and show"`
}

// OTLP says where a collector listens.
type OTLP struct {
	Endpoint   string    `toml:"endpoint" jsonschema:"required,pattern=^https?://,description=URL such as http://127.0.0.1:4318/v1/traces"`
	HeadersEnv string    `toml:"headers_env" jsonschema:"pattern=^[A-Za-z_][A-Za-z0-9_]*$,description=environment variable with further headers as name=value and commas between"`
	QueueMB    int       `toml:"queue_mb" jsonschema:"minimum=1,maximum=1024,default=2,description=memory for records that wait for the collector"`
	Timeout    *Duration `toml:"timeout" jsonschema:"default=5s,description=for one call"`
	Drain      *Duration `toml:"drain" jsonschema:"default=2s,description=at the program's end for what is still queued"`
}

// Sink is a rotated file of records.
type Sink struct {
	Path    string    `toml:"path" jsonschema:"required,minLength=1,description=file; older ones get .1 .2 and so on; a relative path starts from this file's folder"`
	MaxMB   int       `toml:"max_mb" jsonschema:"minimum=1,default=64,description=size at which it is rotated"`
	Files   int       `toml:"files" jsonschema:"minimum=1,maximum=1000,default=4,description=files in all"`
	Flush   *Duration `toml:"flush" jsonschema:"default=1s,description=a record is in the file so soon at the latest"`
	QueueMB int       `toml:"queue_mb" jsonschema:"minimum=1,maximum=1024,default=2,description=memory for records that wait for the disk"`
}

// Batch is the table of the batch front.
type Batch struct {
	Listen string `toml:"listen" jsonschema:"required,description=loopback address and port"`
	Spool  string `toml:"spool" jsonschema:"required,minLength=1,description=folder of files and batches; a relative path starts from this file's folder"`
}

// Contract is what a team may do. The fields are those of batch.Contract.
type Contract struct {
	Team         string   `toml:"team" jsonschema:"required,pattern=^[A-Za-z0-9_-]{1\\,64}$,description=name of letters digits - and _"`
	KeyEnv       string   `toml:"key_env" jsonschema:"required,description=environment variable that holds the team's key"`
	Classes      []string `toml:"classes" jsonschema:"required,minItems=1,description=classes by name; the first is taken where a batch names none"`
	Lines        int      `toml:"lines" jsonschema:"required,minimum=1,description=lines in one file"`
	AtOnce       int      `toml:"at_once" jsonschema:"required,minimum=1,description=authorisations at once over all batches"`
	BudgetTokens int64    `toml:"budget_tokens" jsonschema:"required,minimum=1,description=tokens of prompts and most answers in one period"`
	BudgetPeriod Duration `toml:"budget_period" jsonschema:"required,description=length of a period"`
	LineDeadline Duration `toml:"line_deadline" jsonschema:"required,description=from a line's first try"`
	OpenAPI      string   `toml:"openapi" jsonschema:"description=OpenAPI file that bodies of lines must meet"`
}

// Duration is a time as the file writes it, such as "90s" or "1h30m".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// or returns what p points at, or what holds without it.
func or[T any](p *T, without T) T {
	if p == nil {
		return without
	}
	return *p
}

// fill puts the defaults in, which the schema names too.
func (f *File) fill() {
	zero := func(n *int, v int) {
		if *n == 0 {
			*n = v
		}
	}
	time := func(d **Duration, v time.Duration) {
		w := or(*d, Duration(v))
		*d = &w
	}
	if t := f.Trace; t != nil {
		share, rate := or(t.Share, 0.01), or(t.PerSecond, 10)
		t.Share, t.PerSecond = &share, &rate
		time(&t.Margin, 20*ms)
		zero(&t.MemoryMB, 1)
		if t.TellHosts == "" {
			t.TellHosts = "share"
		}
		if o := t.OTLP; o != nil {
			zero(&o.QueueMB, 2)
			time(&o.Timeout, 5000*ms)
			time(&o.Drain, 2000*ms)
		}
		if s := t.File; s != nil {
			zero(&s.MaxMB, 64)
			zero(&s.Files, 4)
			zero(&s.QueueMB, 2)
			time(&s.Flush, 1000*ms)
		}
	}
}

const ms = time.Millisecond
