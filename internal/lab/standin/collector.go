package standin

import (
	"compress/gzip"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	collectorpb "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	commonpb "go.opentelemetry.io/proto/otlp/common/v1"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
)

// Mode determines how a collector responds to requests.
type Mode int32

// The modes of a collector.
const (
	Accepting   Mode = iota
	Hanging          // reads requests and never answers
	Throttling       // answers 429 with Retry-After: 1
	Unavailable      // answers 503 without Retry-After
	Rejecting        // answers 400
)

// Collector is a fake trace collector that receives spans by OTLP over HTTP.
type Collector struct {
	mode  atomic.Int32
	calls atomic.Int64
	srv   *http.Server
	addr  string
	done  chan struct{}

	mu    sync.Mutex
	spans []*tracepb.Span
	bytes int64
}

// StartCollector starts a collector at a loopback address.
func StartCollector(addr string) (*Collector, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Collector{addr: ln.Addr().String(), done: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/traces", c.export)
	c.srv = &http.Server{Handler: mux}
	go c.srv.Serve(ln)
	return c, nil
}

// URL returns the address to which spans are sent.
func (c *Collector) URL() string { return "http://" + c.addr + "/v1/traces" }

// Close stops the collector.
func (c *Collector) Close() error { close(c.done); return c.srv.Close() }

// SetMode sets how the collector responds to further requests.
func (c *Collector) SetMode(m Mode) { c.mode.Store(int32(m)) }

// Calls returns the number of requests received so far.
func (c *Collector) Calls() int { return int(c.calls.Load()) }

// Spans returns the spans received so far and their size in bytes, uncompressed.
func (c *Collector) Spans() ([]*tracepb.Span, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spans[:len(c.spans):len(c.spans)], c.bytes
}

func (c *Collector) export(w http.ResponseWriter, r *http.Request) {
	c.calls.Add(1)
	switch Mode(c.mode.Load()) {
	case Hanging:
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
		case <-c.done:
		}
		return
	case Throttling:
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Rejecting:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body := io.Reader(r.Body)
	if r.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		body = z
	}
	const maxBodyBytes = 64 << 20
	text, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	var req collectorpb.ExportTraceServiceRequest
	if err == nil {
		err = proto.Unmarshal(text, &req)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	c.bytes += int64(len(text))
	for _, rs := range req.ResourceSpans {
		for _, ss := range rs.ScopeSpans {
			c.spans = append(c.spans, ss.Spans...)
		}
	}
	c.mu.Unlock()
	response, err := proto.Marshal(&collectorpb.ExportTraceServiceResponse{})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	_, _ = w.Write(response)
}

// StringAttribute returns the string attribute of a span, "" if it is missing or of another type.
func StringAttribute(s *tracepb.Span, key string) string { return attribute(s, key).GetStringValue() }

// IntAttribute returns the integer attribute of a span, 0 if it is missing or of another type.
func IntAttribute(s *tracepb.Span, key string) int64 { return attribute(s, key).GetIntValue() }

// StringsAttribute returns the string array attribute of a span, nil if it is missing or of another type.
func StringsAttribute(s *tracepb.Span, key string) []string {
	var all []string
	for _, v := range attribute(s, key).GetArrayValue().GetValues() {
		all = append(all, v.GetStringValue())
	}
	return all
}

func attribute(s *tracepb.Span, key string) *commonpb.AnyValue {
	for _, a := range s.Attributes {
		if a.Key == key {
			return a.Value
		}
	}
	return nil
}

// Hex returns a trace or span ID as hexadecimal digits.
func Hex(id []byte) string { return hex.EncodeToString(id) }
