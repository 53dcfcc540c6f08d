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

// Mode is what a collector does with calls.
type Mode int32

// The modes.
const (
	Accepting   Mode = iota
	Hanging          // takes a call and never answers it
	Throttling       // 429 with Retry-After: 1
	Unavailable      // 503 without
	Rejecting        // 400
)

// Collector takes spans by OTLP over HTTP.
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

// StartCollector listens at a loopback address.
func StartCollector(addr string) (*Collector, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Collector{addr: ln.Addr().String(), done: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/traces", c.take)
	c.srv = &http.Server{Handler: mux}
	go c.srv.Serve(ln)
	return c, nil
}

// URL is where spans are sent.
func (c *Collector) URL() string { return "http://" + c.addr + "/v1/traces" }

// Close ends it.
func (c *Collector) Close() error { close(c.done); return c.srv.Close() }

// SetMode changes what it does with calls from now on.
func (c *Collector) SetMode(m Mode) { c.mode.Store(int32(m)) }

// Calls tells how many calls have come.
func (c *Collector) Calls() int { return int(c.calls.Load()) }

// Spans returns all spans so far, and how many bytes they took on the wire, uncompressed.
func (c *Collector) Spans() ([]*tracepb.Span, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spans[:len(c.spans):len(c.spans)], c.bytes
}

func (c *Collector) take(w http.ResponseWriter, r *http.Request) {
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
	const most = 64 << 20
	text, err := io.ReadAll(io.LimitReader(body, most))
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
	answer, err := proto.Marshal(&collectorpb.ExportTraceServiceResponse{})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	_, _ = w.Write(answer)
}

// StringAttribute returns a span's attribute as a text; numbers and flags are not texts.
func StringAttribute(s *tracepb.Span, key string) string { return value(s, key).GetStringValue() }

// IntAttribute returns a span's attribute as a number.
func IntAttribute(s *tracepb.Span, key string) int64 { return value(s, key).GetIntValue() }

// StringsAttribute returns a span's attribute as a list of texts.
func StringsAttribute(s *tracepb.Span, key string) []string {
	var all []string
	for _, v := range value(s, key).GetArrayValue().GetValues() {
		all = append(all, v.GetStringValue())
	}
	return all
}

func value(s *tracepb.Span, key string) *commonpb.AnyValue {
	for _, a := range s.Attributes {
		if a.Key == key {
			return a.Value
		}
	}
	return nil
}

// Hex writes an id of a span as a reader knows it.
func Hex(id []byte) string { return hex.EncodeToString(id) }
