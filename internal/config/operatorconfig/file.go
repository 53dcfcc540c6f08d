package operatorconfig

import "notchhinge/internal/config/tomlfile"

// File is the whole file. A table that is nil is off.
type File struct {
	tomlfile.Source `toml:"-" jsonschema:"-"`

	Trace     *Trace     `toml:"trace" jsonschema:"description=Traces of requests: which are recorded and where they go. Without this table none are."`
	Batch     *Batch     `toml:"batch" jsonschema:"description=The batch service: files of requests. Off without this table. It needs at least one contract."`
	Services  []Service  `toml:"service" jsonschema:"description=What is served and which requests it gets. Without any the router has the one pool that the platform configures."`
	Pools     []Pool     `toml:"pool" jsonschema:"description=A part of the endpoints with a decision module and limits of its own."`
	Control   *Control   `toml:"control" jsonschema:"description=A local socket for notchhinge pools and notchhinge routes. Off without this table."`
	Contracts []Contract `toml:"contract" jsonschema:"description=What a team may do on the batch service."`
}

// Trace configures the recorder of package trace and the exporters of its records. Requests that fail, are late or are retried
// are always recorded; the other ones are sampled.
type Trace struct {
	// SampleRatio is the share of ordinary requests that is recorded. A high one costs memory and disk.
	SampleRatio *float64 `toml:"share" jsonschema:"minimum=0,maximum=1,default=0.01,description=share of ordinary requests that is kept; failed late and retried ones always are"`
	// MaxSamplesPerS bounds the ordinary requests that are recorded per second; 0 = no bound.
	MaxSamplesPerS *float64 `toml:"per_second" jsonschema:"minimum=0,default=10,description=maximum of ordinary requests kept per second; 0 = no bound"`
	// LatencyMargin is taken off the latency target: a response within it counts as late. At most a minute.
	LatencyMargin *tomlfile.Duration `toml:"margin" jsonschema:"default=20ms,description=a response that is this close to its latency target counts as late"`
	// PropagateSampled selects the requests whose traceparent header has the sampled flag: "share", those that are sampled, or
	// "all". Engines that trace sampled requests do so at their own cost.
	PropagateSampled string `toml:"tell_hosts" jsonschema:"enum=share,enum=all,default=share,description=requests whose traceparent has the sampled flag for upstreams: those of the share or all"`
	// PendingMB bounds the memory for finished requests that are kept until it is known whether they are retried.
	PendingMB int `toml:"memory_mb" jsonschema:"minimum=1,maximum=1024,default=1,description=memory for finished requests that may be retried"`

	OTLP *OTLP      `toml:"otlp" jsonschema:"description=a collector that takes OTLP over HTTP"`
	File *TraceFile `toml:"file" jsonschema:"description=files for notchhinge trace find and show"`
}

// OTLP configures the export to a collector (OpenTelemetry protocol over HTTP).
type OTLP struct {
	Endpoint string `toml:"endpoint" jsonschema:"required,pattern=^https?://,description=URL such as http://127.0.0.1:4318/v1/traces"`
	// HeadersEnv names an environment variable, so that no secret is in the file.
	HeadersEnv string `toml:"headers_env" jsonschema:"pattern=^[A-Za-z_][A-Za-z0-9_]*$,description=environment variable with further headers as name=value and commas between"`
	// QueueMB bounds the memory of the queue. Records beyond it are dropped.
	QueueMB      int                `toml:"queue_mb" jsonschema:"minimum=1,maximum=1024,default=2,description=memory for records that wait for the collector"`
	CallTimeout  *tomlfile.Duration `toml:"timeout" jsonschema:"default=5s,description=for one call"`
	DrainTimeout *tomlfile.Duration `toml:"drain" jsonschema:"default=2s,description=at the program's end for what is still queued"`
}

// TraceFile configures a rotated file of records.
type TraceFile struct {
	// Path is the file that is written. A relative path starts from the directory of the operator's file.
	Path     string `toml:"path" jsonschema:"required,minLength=1,description=file; older ones get .1 .2 and so on; a relative path starts from this file's folder"`
	MaxMB    int    `toml:"max_mb" jsonschema:"minimum=1,default=64,description=size at which it is rotated"`
	MaxFiles int    `toml:"files" jsonschema:"minimum=1,maximum=1000,default=4,description=number of files with the older ones"`
	// FlushInterval bounds the age of records that a crash loses.
	FlushInterval *tomlfile.Duration `toml:"flush" jsonschema:"default=1s,description=a record is in the file after this time at the latest"`
	QueueMB       int                `toml:"queue_mb" jsonschema:"minimum=1,maximum=1024,default=2,description=memory for records that wait for the disk"`
}

// Batch configures the batch service.
type Batch struct {
	Listen string `toml:"listen" jsonschema:"required,description=loopback address and port"`
	// Spool is the directory of uploaded files and jobs. A relative path starts from the directory of the operator's file.
	Spool string `toml:"spool" jsonschema:"required,minLength=1,description=folder of files and batches; a relative path starts from this file's folder"`
}

// Contract is what one team may do on the batch service. The fields are those of batch.Contract.
type Contract struct {
	Team string `toml:"team" jsonschema:"required,pattern=^[A-Za-z0-9_-]{1\\,64}$,description=name of letters digits - and _"`
	// KeyEnv names an environment variable, so that no key is in the file.
	KeyEnv string `toml:"key_env" jsonschema:"required,description=environment variable that holds the team's key"`
	// Service gets the requests of the team. Without it they are routed as POST /v1/chat/completions at batch.notchhinge.
	Service string `toml:"service" jsonschema:"description=service that its requests go to; without it they take the routes of POST /v1/chat/completions at batch.notchhinge"`
	// Classes are request classes that batches may name. The first is the default.
	Classes  []string `toml:"classes" jsonschema:"required,minItems=1,description=classes by name; the first is taken where a batch names none"`
	MaxItems int      `toml:"lines" jsonschema:"required,minimum=1,description=maximum of items in one file"`
	// MaxConcurrent bounds the team's requests in flight over all its batches.
	MaxConcurrent int `toml:"at_once" jsonschema:"required,minimum=1,description=maximum of requests in flight over all batches"`
	// BudgetTokens bounds the tokens of prompts and, as bounded by max_tokens, of responses in a period.
	BudgetTokens int64             `toml:"budget_tokens" jsonschema:"required,minimum=1,description=tokens of prompts and of the longest possible responses in one period"`
	BudgetPeriod tomlfile.Duration `toml:"budget_period" jsonschema:"required,description=length of a period"`
	ItemDeadline tomlfile.Duration `toml:"line_deadline" jsonschema:"required,description=from the first attempt of an item"`
	// OpenAPI is a file with the schema of request bodies. A relative path starts from the directory of the operator's file.
	OpenAPI string `toml:"openapi" jsonschema:"description=OpenAPI file that request bodies must meet"`
}

// Service is something that clients request under a name of its own. It has a pool or a split.
type Service struct {
	Name   string  `toml:"name" jsonschema:"required,pattern=^[A-Za-z0-9_.-]{1\\,64}$,description=name of letters digits - . and _"`
	Pool   string  `toml:"pool" jsonschema:"description=the pool that serves it; or split"`
	Split  []Split `toml:"split" jsonschema:"description=pools that serve it by weight; a session stays with its pool"`
	Routes []Route `toml:"route" jsonschema:"required,minItems=1,description=requests that it gets; the most specific route wins whatever the order"`
}

// Split is one pool of a service with its weight.
type Split struct {
	Pool   string  `toml:"pool" jsonschema:"required,description=name of a pool"`
	Weight float64 `toml:"weight" jsonschema:"required,minimum=0,description=relative to the other pools of the service; 0 = no requests"`
}

// Route matches requests. A key that is not given matches anything, except Method.
type Route struct {
	Host   string            `toml:"host" jsonschema:"description=a name or an address or *.suffix; without a port"`
	Path   string            `toml:"path" jsonschema:"description=exact path"`
	Prefix string            `toml:"prefix" jsonschema:"description=first segments of a path"`
	Method string            `toml:"method" jsonschema:"default=POST,pattern=^([A-Z]+|any)$,description=a method or any"`
	Class  string            `toml:"class" jsonschema:"description=class by name"`
	Header map[string]string `toml:"header" jsonschema:"description=headers and the one value that each must have"`
}

// Pool is a part of the endpoints with a decision module of its own.
type Pool struct {
	Name string `toml:"name" jsonschema:"required,pattern=^[A-Za-z0-9_.-]{1\\,64}$,description=name of letters digits - . and _"`
	// FormerName lets a renamed pool keep its sessions and statistics.
	FormerName string `toml:"was" jsonschema:"description=the name that it had before: it keeps its sessions"`
	// DiscoveryAddr is where the endpoint list comes from. The platform's address is the default.
	DiscoveryAddr string `toml:"discovery" jsonschema:"description=address and port of its discovery; the platform's without it"`
	// SettingsPath is a file with the settings of the decision module. A pool whose settings change is another pool, without
	// the sessions of the old one.
	SettingsPath string      `toml:"settings" jsonschema:"description=JSON file with the decision module's settings in the platform's form; the platform's without it"`
	Select       *Selection  `toml:"select" jsonschema:"description=the endpoints of its discovery's list that it has; all without it"`
	Classes      []PoolClass `toml:"class" jsonschema:"description=its request classes; all of its settings as they are without any"`
	Limits       *PoolLimits `toml:"limits" jsonschema:"description=what it may use of the process's capacity"`
}

// Selection is a part of an endpoint list: the entries that match all the keys that are given.
type Selection struct {
	Zones        []string `toml:"sites" jsonschema:"description=zones by name"`
	Cells        []int    `toml:"blocks" jsonschema:"description=cells by number"`
	Classes      []string `toml:"classes" jsonschema:"description=machine classes by name"`
	NamePatterns []string `toml:"names" jsonschema:"description=patterns of names with * and ?"`
}

// PoolClass is a request class of a pool, with the values that differ from its settings.
type PoolClass struct {
	Name string `toml:"name" jsonschema:"required,description=a class of the settings"`
	// Value is compared with that of other classes when load is shed.
	Value *float64 `toml:"worth" jsonschema:"minimum=0,description=value of a response in time"`
	// LateValue is the share of Value that a late response still has.
	LateValue *float64 `toml:"late_worth" jsonschema:"minimum=0,maximum=1,description=share of it that a late response keeps"`
	// TargetLatency is the time to the first token within which a response is in time.
	TargetLatency           *tomlfile.Duration `toml:"aim" jsonschema:"description=target time to the first token"`
	TargetLatencyPerKTokens *tomlfile.Duration `toml:"aim_per_1000_tokens" jsonschema:"description=added to the target for each 1000 tokens of the prompt"`
	// Deadline is the time after which clients give up.
	Deadline *tomlfile.Duration `toml:"deadline" jsonschema:"description=time after which clients give up"`
}

// PoolLimits is what a pool may use of the process: requests in flight, connections, and bytes of bodies.
type PoolLimits struct {
	// Guarantee is the share that no other pool can use. Pools without one get even parts of half of what the others' leave.
	Guarantee *float64 `toml:"guarantee" jsonschema:"minimum=0,maximum=1,description=share that no other pool can use; without it an even part of half of what others' guarantees leave"`
	MaxShare  *float64 `toml:"most" jsonschema:"minimum=0,maximum=1,default=1,description=maximum of its share"`
	// MaxRequests and the next two lower the share's bounds of requests in flight, connections to endpoints, and bodies in
	// memory.
	MaxRequests      int `toml:"open" jsonschema:"minimum=1,description=maximum of requests in flight"`
	MaxUpstreamConns int `toml:"lines" jsonschema:"minimum=1,description=maximum of connections to endpoints"`
	MaxBodyMB        int `toml:"body_mb" jsonschema:"minimum=1,description=maximum of request bodies in memory"`
	// MaxAttempts bounds the attempts of one request. The settings of the decision module bound them too.
	MaxAttempts int                `toml:"legs" jsonschema:"minimum=1,maximum=16,description=maximum of attempts of one request; no more than the settings allow"`
	RetryAfter  *tomlfile.Duration `toml:"retry_after" jsonschema:"default=500ms,description=Retry-After of responses to requests above the limits"`
}

// Control configures the local socket for operators. It is accessible to its owner only.
type Control struct {
	SocketPath string `toml:"path" jsonschema:"required,minLength=1,description=the socket; only its owner may use it; a relative path starts from this file's folder"`
}
