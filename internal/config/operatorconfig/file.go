package operatorconfig

import "notchhinge/internal/config/tomlfile"

// File is the operator's file. A subsystem whose table is nil is off.
type File struct {
	tomlfile.Source `toml:"-" jsonschema:"-"`

	Trace     *Trace     `toml:"trace" jsonschema:"description=Traces of requests: which are recorded and where they are exported. Without this table none are recorded."`
	Batch     *Batch     `toml:"batch" jsonschema:"description=The batch service for files of requests. It is off without this table and needs at least one contract."`
	Services  []Service  `toml:"service" jsonschema:"description=A service and the requests that are routed to it. Without any service the router has only the pool that the platform configures."`
	Pools     []Pool     `toml:"pool" jsonschema:"description=A subset of the endpoints with its own decision module and limits."`
	Control   *Control   `toml:"control" jsonschema:"description=A local socket for notchhinge pools and notchhinge routes. It is off without this table."`
	Contracts []Contract `toml:"contract" jsonschema:"description=The quotas of a team on the batch service."`
}

// Trace configures the recorder of package trace and the exporters of its records. Requests that fail, are late or are retried
// are always recorded; the others are sampled.
type Trace struct {
	// SampleRatio is the share of ordinary requests that is recorded. A higher ratio costs more memory and disk space.
	SampleRatio *float64 `toml:"share" jsonschema:"minimum=0,maximum=1,default=0.01,description=share of ordinary requests that is recorded; requests that fail or are late or are retried are always recorded"`
	// MaxSamplesPerS is the maximum number of ordinary requests that are recorded per second; 0 = no maximum.
	MaxSamplesPerS *float64 `toml:"per_second" jsonschema:"minimum=0,default=10,description=maximum number of ordinary requests recorded per second; 0 = no maximum"`
	// LatencyMargin is subtracted from the latency target: a later response counts as late. At most one minute.
	LatencyMargin *tomlfile.Duration `toml:"margin" jsonschema:"default=20ms,description=a response that is within this time of its latency target counts as late"`
	// PropagateSampled selects the requests that are sent upstream with the sampled flag in the traceparent header: "share" for
	// those that are sampled, or "all". Engines may trace these requests, which costs them resources.
	PropagateSampled string `toml:"tell_hosts" jsonschema:"enum=share,enum=all,default=share,description=requests that are sent upstream with the sampled flag in traceparent: those of the share or all"`
	// PendingMB bounds the memory for records of finished requests that may still be retried.
	PendingMB int `toml:"memory_mb" jsonschema:"minimum=1,maximum=1024,default=1,description=memory in MiB for records of finished requests that may still be retried"`

	OTLP *OTLP      `toml:"otlp" jsonschema:"description=export to a collector with OTLP over HTTP"`
	File *TraceFile `toml:"file" jsonschema:"description=export to files that notchhinge trace find and show read"`
}

// OTLP configures the export to a collector with the OpenTelemetry protocol over HTTP.
type OTLP struct {
	Endpoint string `toml:"endpoint" jsonschema:"required,pattern=^https?://,description=URL such as http://127.0.0.1:4318/v1/traces"`
	// HeadersEnv names an environment variable, so that the file holds no secrets.
	HeadersEnv string `toml:"headers_env" jsonschema:"pattern=^[A-Za-z_][A-Za-z0-9_]*$,description=environment variable with additional headers as name=value separated by commas"`
	// QueueMB bounds the memory of the queue. Records beyond it are dropped.
	QueueMB      int                `toml:"queue_mb" jsonschema:"minimum=1,maximum=1024,default=2,description=memory in MiB for records that wait for the collector"`
	CallTimeout  *tomlfile.Duration `toml:"timeout" jsonschema:"default=5s,description=timeout of one call"`
	DrainTimeout *tomlfile.Duration `toml:"drain" jsonschema:"default=2s,description=time at shutdown to send the records that are still queued"`
}

// TraceFile configures the export to a file that is rotated by size.
type TraceFile struct {
	// Path is the current file. A relative path is resolved against the directory of the operator's file.
	Path     string `toml:"path" jsonschema:"required,minLength=1,description=current file; older ones have the suffixes .1 .2 and so on; relative to the directory of this settings file"`
	MaxMB    int    `toml:"max_mb" jsonschema:"minimum=1,default=64,description=size in MiB at which the file is rotated"`
	MaxFiles int    `toml:"files" jsonschema:"minimum=1,maximum=1000,default=4,description=number of files including the older ones"`
	// FlushInterval is the maximum age of records that a crash can lose.
	FlushInterval *tomlfile.Duration `toml:"flush" jsonschema:"default=1s,description=maximum time until a record is written to the file"`
	QueueMB       int                `toml:"queue_mb" jsonschema:"minimum=1,maximum=1024,default=2,description=memory in MiB for records that wait for the disk"`
}

// Batch configures the batch service.
type Batch struct {
	Listen string `toml:"listen" jsonschema:"required,description=loopback address and port"`
	// Spool is the directory of uploaded files and jobs. A relative path is resolved against the directory of the operator's file.
	Spool string `toml:"spool" jsonschema:"required,minLength=1,description=directory of uploaded files and batches; relative to the directory of this settings file"`
}

// Contract configures the access and quotas of one team on the batch service. Its fields are those of batch.Contract.
type Contract struct {
	Team string `toml:"team" jsonschema:"required,pattern=^[A-Za-z0-9_-]{1\\,64}$,description=name of letters digits - and _"`
	// KeyEnv names an environment variable, so that the file holds no keys.
	KeyEnv string `toml:"key_env" jsonschema:"required,description=environment variable that holds the team's key"`
	// Service is the service that receives the team's requests. Without it they are routed like POST /v1/chat/completions with
	// the host batch.notchhinge.
	Service string `toml:"service" jsonschema:"description=service that receives the team's requests; without it they are routed like POST /v1/chat/completions with the host batch.notchhinge"`
	// Classes are request classes that batches may name. The first is the default.
	Classes  []string `toml:"classes" jsonschema:"required,minItems=1,description=request classes by name; the first is used for a batch that names none"`
	MaxItems int      `toml:"lines" jsonschema:"required,minimum=1,description=maximum number of items in one file"`
	// MaxConcurrent is the maximum number of the team's requests in flight over all its batches.
	MaxConcurrent int `toml:"at_once" jsonschema:"required,minimum=1,description=maximum number of requests in flight over all batches"`
	// BudgetTokens is the maximum number of tokens in a period: those of prompts plus max_tokens of each response.
	BudgetTokens int64             `toml:"budget_tokens" jsonschema:"required,minimum=1,description=maximum number of tokens of prompts and of the longest possible responses in one period"`
	BudgetPeriod tomlfile.Duration `toml:"budget_period" jsonschema:"required,description=length of a budget period"`
	ItemDeadline tomlfile.Duration `toml:"line_deadline" jsonschema:"required,description=maximum time from the first attempt of an item to its end"`
	// OpenAPI is a file with the schema of request bodies. A relative path is resolved against the directory of the operator's
	// file.
	OpenAPI string `toml:"openapi" jsonschema:"description=OpenAPI file with the schema that request bodies must match"`
}

// Service is a named destination of requests. It has either a pool or a split.
type Service struct {
	Name   string  `toml:"name" jsonschema:"required,pattern=^[A-Za-z0-9_.-]{1\\,64}$,description=name of letters digits - . and _"`
	Pool   string  `toml:"pool" jsonschema:"description=pool that serves the service; cannot be combined with split"`
	Split  []Split `toml:"split" jsonschema:"description=pools that serve the service by weight; a session stays with its pool"`
	Routes []Route `toml:"route" jsonschema:"required,minItems=1,description=routes of requests to the service; the most specific route wins regardless of the order"`
}

// Split is one of several pools of a service, with its weight.
type Split struct {
	Pool   string  `toml:"pool" jsonschema:"required,description=name of a pool"`
	Weight float64 `toml:"weight" jsonschema:"required,minimum=0,description=weight relative to the other pools of the service; 0 = no requests"`
}

// Route matches requests. An absent key matches any value, except Method, which has a default.
type Route struct {
	Host   string            `toml:"host" jsonschema:"description=host name or address or *.suffix; without a port"`
	Path   string            `toml:"path" jsonschema:"description=exact path"`
	Prefix string            `toml:"prefix" jsonschema:"description=leading segments of the path"`
	Method string            `toml:"method" jsonschema:"default=POST,pattern=^([A-Z]+|any)$,description=HTTP method or any"`
	Class  string            `toml:"class" jsonschema:"description=request class by name"`
	Header map[string]string `toml:"header" jsonschema:"description=header names with the value that each must have"`
}

// Pool is a subset of the endpoints with its own decision module.
type Pool struct {
	Name string `toml:"name" jsonschema:"required,pattern=^[A-Za-z0-9_.-]{1\\,64}$,description=name of letters digits - . and _"`
	// FormerName is the previous name of a renamed pool, which keeps its sessions and statistics.
	FormerName string `toml:"was" jsonschema:"description=previous name of a renamed pool: the pool keeps its sessions"`
	// DiscoveryAddr is the address of the endpoint list; by default the platform's.
	DiscoveryAddr string `toml:"discovery" jsonschema:"description=address and port of the pool's discovery; by default the platform's"`
	// SettingsPath is a file with the settings of the decision module. A pool whose settings change is replaced by a new pool
	// without the sessions of the old one.
	SettingsPath string      `toml:"settings" jsonschema:"description=JSON file with the decision module's settings in the platform's format; by default the platform's settings"`
	Select       *Selection  `toml:"select" jsonschema:"description=selects endpoints from the list of the discovery; by default all"`
	Classes      []PoolClass `toml:"class" jsonschema:"description=request classes of the pool; by default all classes of its settings unchanged"`
	Limits       *PoolLimits `toml:"limits" jsonschema:"description=maximum use of the process's capacity"`
}

// Selection selects the entries of an endpoint list that match all keys present.
type Selection struct {
	Zones        []string `toml:"sites" jsonschema:"description=zones by name"`
	Cells        []int    `toml:"blocks" jsonschema:"description=cells by number"`
	Classes      []string `toml:"classes" jsonschema:"description=machine classes by name"`
	NamePatterns []string `toml:"names" jsonschema:"description=patterns of endpoint names with * and ?"`
}

// PoolClass is a request class of a pool. Its keys override the values of the pool's settings.
type PoolClass struct {
	Name string `toml:"name" jsonschema:"required,description=name of a class in the settings"`
	// Value is the value of a response in time. Load shedding compares it with the values of other classes.
	Value *float64 `toml:"worth" jsonschema:"minimum=0,description=value of a response in time"`
	// LateValue is the share of Value that a late response retains.
	LateValue *float64 `toml:"late_worth" jsonschema:"minimum=0,maximum=1,description=share of worth that a late response retains"`
	// TargetLatency is the maximum time to the first token of a response in time.
	TargetLatency           *tomlfile.Duration `toml:"aim" jsonschema:"description=target time to the first token"`
	TargetLatencyPerKTokens *tomlfile.Duration `toml:"aim_per_1000_tokens" jsonschema:"description=time added to the target for each 1000 tokens of the prompt"`
	// Deadline is the time after which clients give up.
	Deadline *tomlfile.Duration `toml:"deadline" jsonschema:"description=time after which clients give up"`
}

// PoolLimits bounds a pool's use of the process's requests in flight, connections and memory for bodies.
type PoolLimits struct {
	// Guarantee is the share that no other pool can use. The pools without a guarantee have equal parts of half of the remainder.
	Guarantee *float64 `toml:"guarantee" jsonschema:"minimum=0,maximum=1,description=share that no other pool can use; by default an equal part of half of what the guarantees of other pools leave"`
	MaxShare  *float64 `toml:"most" jsonschema:"minimum=0,maximum=1,default=1,description=maximum share that the pool can use"`
	// MaxRequests, MaxUpstreamConns and MaxBodyMB further limit the requests in flight, the connections to endpoints and the
	// request bodies in memory that MaxShare allows.
	MaxRequests      int `toml:"open" jsonschema:"minimum=1,description=maximum number of requests in flight"`
	MaxUpstreamConns int `toml:"lines" jsonschema:"minimum=1,description=maximum number of connections to endpoints"`
	MaxBodyMB        int `toml:"body_mb" jsonschema:"minimum=1,description=maximum size in MiB of request bodies in memory"`
	// MaxAttempts is the maximum number of attempts of one request. The settings of the decision module bound it as well.
	MaxAttempts int                `toml:"legs" jsonschema:"minimum=1,maximum=16,description=maximum number of attempts of one request; no more than the settings allow"`
	RetryAfter  *tomlfile.Duration `toml:"retry_after" jsonschema:"default=500ms,description=Retry-After header of responses that reject requests above the limits"`
}

// Control configures the local socket for operators. Only the owner of the socket can use it.
type Control struct {
	SocketPath string `toml:"path" jsonschema:"required,minLength=1,description=path of the socket; only its owner can use it; relative to the directory of this settings file"`
}
