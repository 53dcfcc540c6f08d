// Package operatorconfig reads the operator's own file (deploy/notchhinge.toml): one table a subsystem, each off without
// its table. It owns the file's form, its schema and the report of every fault in it; what a table means is its
// subsystem's. The platform's JSON is read by internal/config.
package operatorconfig

import (
	"time"
)

// Source is where a file's keys stand.
type Source struct {
	path  string
	lines lineIndex
}

// File is the whole file. A nil table is off.
type File struct {
	Source `toml:"-" jsonschema:"-"`

	Trace     *Trace     `toml:"trace" jsonschema:"description=Journeys of requests: what is recorded and where it goes. Without this table nothing is."`
	Batch     *Batch     `toml:"batch" jsonschema:"description=The batch front: files of requests. Off without this table. It needs one contract at least."`
	Services  []Service  `toml:"service" jsonschema:"description=What is served and which requests it gets. Without any the router has the one pool that the platform tells it of."`
	Pools     []Pool     `toml:"pool" jsonschema:"description=A part of the boxes with a decision module and limits of its own."`
	Control   *Control   `toml:"control" jsonschema:"description=A local socket for notchhinge pools and notchhinge routes. Off without this table."`
	Contracts []Contract `toml:"contract" jsonschema:"description=What a team may do on the batch front."`
}

// Trace is the table of internal/trace and of where its records go.
type Trace struct {
	SampleRatio      *float64   `toml:"share" jsonschema:"minimum=0,maximum=1,default=0.01,description=share of ordinary requests that is kept; failed late and retried ones always are"`
	MaxSamplesPerS   *float64   `toml:"per_second" jsonschema:"minimum=0,default=10,description=ordinary requests kept a second at the most; 0 = no bound"`
	LatencyMargin    *Duration  `toml:"margin" jsonschema:"default=20ms,description=an answer so near to its aim counts as late"`
	PropagateSampled string     `toml:"tell_hosts" jsonschema:"enum=share,enum=all,default=share,description=whose traceparent says 'sampled' to issuer hosts: those of the share or all"`
	PendingMB        int        `toml:"memory_mb" jsonschema:"minimum=1,maximum=1024,default=1,description=memory for finished requests that wait for a retry of theirs"`
	OTLP             *OTLP      `toml:"otlp" jsonschema:"description=a collector that takes OTLP over HTTP"`
	File             *TraceFile `toml:"file" jsonschema:"description=files for notchhinge trace find and show"`
}

// OTLP says where a collector listens.
type OTLP struct {
	Endpoint     string    `toml:"endpoint" jsonschema:"required,pattern=^https?://,description=URL such as http://127.0.0.1:4318/v1/traces"`
	HeadersEnv   string    `toml:"headers_env" jsonschema:"pattern=^[A-Za-z_][A-Za-z0-9_]*$,description=environment variable with further headers as name=value and commas between"`
	QueueMB      int       `toml:"queue_mb" jsonschema:"minimum=1,maximum=1024,default=2,description=memory for records that wait for the collector"`
	CallTimeout  *Duration `toml:"timeout" jsonschema:"default=5s,description=for one call"`
	DrainTimeout *Duration `toml:"drain" jsonschema:"default=2s,description=at the program's end for what is still queued"`
}

// TraceFile is a rotated file of records.
type TraceFile struct {
	Path          string    `toml:"path" jsonschema:"required,minLength=1,description=file; older ones get .1 .2 and so on; a relative path starts from this file's folder"`
	MaxMB         int       `toml:"max_mb" jsonschema:"minimum=1,default=64,description=size at which it is rotated"`
	MaxFiles      int       `toml:"files" jsonschema:"minimum=1,maximum=1000,default=4,description=files in all"`
	FlushInterval *Duration `toml:"flush" jsonschema:"default=1s,description=a record is in the file so soon at the latest"`
	QueueMB       int       `toml:"queue_mb" jsonschema:"minimum=1,maximum=1024,default=2,description=memory for records that wait for the disk"`
}

// Batch is the table of the batch front.
type Batch struct {
	Listen string `toml:"listen" jsonschema:"required,description=loopback address and port"`
	Spool  string `toml:"spool" jsonschema:"required,minLength=1,description=folder of files and batches; a relative path starts from this file's folder"`
}

// Contract is what a team may do. The fields are those of batch.Contract.
type Contract struct {
	Team          string   `toml:"team" jsonschema:"required,pattern=^[A-Za-z0-9_-]{1\\,64}$,description=name of letters digits - and _"`
	KeyEnv        string   `toml:"key_env" jsonschema:"required,description=environment variable that holds the team's key"`
	Service       string   `toml:"service" jsonschema:"description=service that its lines go to; without it they take the routes of POST /v1/chat/completions at batch.notchhinge"`
	Classes       []string `toml:"classes" jsonschema:"required,minItems=1,description=classes by name; the first is taken where a batch names none"`
	MaxItems      int      `toml:"lines" jsonschema:"required,minimum=1,description=lines in one file"`
	MaxConcurrent int      `toml:"at_once" jsonschema:"required,minimum=1,description=authorisations at once over all batches"`
	BudgetTokens  int64    `toml:"budget_tokens" jsonschema:"required,minimum=1,description=tokens of prompts and most answers in one period"`
	BudgetPeriod  Duration `toml:"budget_period" jsonschema:"required,description=length of a period"`
	ItemDeadline  Duration `toml:"line_deadline" jsonschema:"required,description=from a line's first try"`
	OpenAPI       string   `toml:"openapi" jsonschema:"description=OpenAPI file that bodies of lines must meet"`
}

// Service is something that teams ask for under a name of its own.
type Service struct {
	Name   string  `toml:"name" jsonschema:"required,pattern=^[A-Za-z0-9_.-]{1\\,64}$,description=name of letters digits - . and _"`
	Pool   string  `toml:"pool" jsonschema:"description=the pool that serves it; or split"`
	Split  []Split `toml:"split" jsonschema:"description=pools that serve it by weight; a conversation stays on its side"`
	Routes []Route `toml:"route" jsonschema:"required,minItems=1,description=requests that it gets; the most specific route wins whatever the order"`
}

// Split is a pool's part of a service.
type Split struct {
	Pool   string  `toml:"pool" jsonschema:"required,description=name of a pool"`
	Weight float64 `toml:"weight" jsonschema:"required,minimum=0,description=against the others of the service; 0 = nothing"`
}

// Route is one way to a service. What is not given matches anything but for the method.
type Route struct {
	Host   string            `toml:"host" jsonschema:"description=a name or an address or *.suffix; without a port"`
	Path   string            `toml:"path" jsonschema:"description=exact path"`
	Prefix string            `toml:"prefix" jsonschema:"description=first segments of a path"`
	Method string            `toml:"method" jsonschema:"default=POST,pattern=^([A-Z]+|any)$,description=a method or any"`
	Class  string            `toml:"class" jsonschema:"description=class by name"`
	Header map[string]string `toml:"header" jsonschema:"description=headers and the one value that each must have"`
}

// Pool is a part of the boxes.
type Pool struct {
	Name          string      `toml:"name" jsonschema:"required,pattern=^[A-Za-z0-9_.-]{1\\,64}$,description=name of letters digits - . and _"`
	FormerName    string      `toml:"was" jsonschema:"description=the name that it had before: it keeps its conversations"`
	DiscoveryAddr string      `toml:"discovery" jsonschema:"description=address and port of its discovery; the platform's without it"`
	SettingsPath  string      `toml:"settings" jsonschema:"description=JSON file with the decision module's settings in the platform's form; the platform's without it"`
	Select        *Selection  `toml:"select" jsonschema:"description=the part of its discovery's list that it has; all without it"`
	Classes       []PoolClass `toml:"class" jsonschema:"description=its classes; all of its settings as they are without any"`
	Limits        *PoolLimits `toml:"limits" jsonschema:"description=what it may have of what the process has"`
}

// Selection is a part of a list: entries that meet all that is given.
type Selection struct {
	Zones        []string `toml:"sites" jsonschema:"description=sites by name"`
	Cells        []int    `toml:"blocks" jsonschema:"description=blocks by number"`
	Classes      []string `toml:"classes" jsonschema:"description=classes of boxes by name"`
	NamePatterns []string `toml:"names" jsonschema:"description=patterns of names with * and ?"`
}

// PoolClass is a class of the pool's settings with what is other here.
type PoolClass struct {
	Name                    string    `toml:"name" jsonschema:"required,description=a class of the settings"`
	Value                   *float64  `toml:"worth" jsonschema:"minimum=0,description=of an answer in time"`
	LateValue               *float64  `toml:"late_worth" jsonschema:"minimum=0,maximum=1,description=share of it that a late answer keeps"`
	TargetLatency           *Duration `toml:"aim" jsonschema:"description=first token wanted within this"`
	TargetLatencyPerKTokens *Duration `toml:"aim_per_1000_tokens" jsonschema:"description=added to the aim for each 1000 tokens of the prompt"`
	Deadline                *Duration `toml:"deadline" jsonschema:"description=a client's patience"`
}

// PoolLimits are a pool's parts of what the process has: open requests and descriptors and bytes of bodies.
type PoolLimits struct {
	Guarantee        *float64  `toml:"guarantee" jsonschema:"minimum=0,maximum=1,description=share that nobody else can use up; without it an even part of half of what others' guarantees leave"`
	MaxShare         *float64  `toml:"most" jsonschema:"minimum=0,maximum=1,default=1,description=share that it can use at the most"`
	MaxRequests      int       `toml:"open" jsonschema:"minimum=1,description=open requests at the most"`
	MaxUpstreamConns int       `toml:"lines" jsonschema:"minimum=1,description=connections to boxes at the most"`
	MaxBodyMB        int       `toml:"body_mb" jsonschema:"minimum=1,description=bodies held at the most"`
	MaxAttempts      int       `toml:"legs" jsonschema:"minimum=1,maximum=16,description=attempts of one request at the most; no more than the settings allow"`
	RetryAfter       *Duration `toml:"retry_after" jsonschema:"default=500ms,description=told to whom it has no room for"`
}

// Control says where the local socket is.
type Control struct {
	SocketPath string `toml:"path" jsonschema:"required,minLength=1,description=the socket; only its owner may use it; a relative path starts from this file's folder"`
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
	for i := range f.Services {
		for j := range f.Services[i].Routes {
			if r := &f.Services[i].Routes[j]; r.Method == "" {
				r.Method = "POST"
			}
		}
	}
	if t := f.Trace; t != nil {
		share, rate := or(t.SampleRatio, 0.01), or(t.MaxSamplesPerS, 10)
		t.SampleRatio, t.MaxSamplesPerS = &share, &rate
		time(&t.LatencyMargin, 20*ms)
		zero(&t.PendingMB, 1)
		if t.PropagateSampled == "" {
			t.PropagateSampled = "share"
		}
		if o := t.OTLP; o != nil {
			zero(&o.QueueMB, 2)
			time(&o.CallTimeout, 5000*ms)
			time(&o.DrainTimeout, 2000*ms)
		}
		if s := t.File; s != nil {
			zero(&s.MaxMB, 64)
			zero(&s.MaxFiles, 4)
			zero(&s.QueueMB, 2)
			time(&s.FlushInterval, 1000*ms)
		}
	}
}

const ms = time.Millisecond
