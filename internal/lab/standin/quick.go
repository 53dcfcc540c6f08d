package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
)

// InstantEngine is a fake engine that answers every request at once with a short stream, for measuring the overhead of a router.
type InstantEngine struct {
	Entry
	srv *http.Server
}

// StartInstantEngine starts an engine on a free loopback port and adds it to d.
func StartInstantEngine(name string, d *Discovery) (*InstantEngine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &InstantEngine{Entry: Entry{Host: name, Dial: ln.Addr().String(), Site: "room", Class: "gpu", Health: "Ready", Share: 1}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Call-Id")
		w.Header().Set("Content-Type", "text/event-stream")
		event := appendEvent(nil, id, 0, 4, true)
		event = fmt.Appendf(event, `data: {"choices":[],"usage":{"prompt_tokens":100,"completion_tokens":4,`+
			`"prompt_tokens_details":{"cached_tokens":64}}}`+"\n\ndata: [DONE]\n\n")
		_, _ = w.Write(event)
		_ = http.NewResponseController(w).Flush() // so that the response is chunked, like a stream
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x1=0,concurrent=0") })
	e.srv = &http.Server{Handler: mux}
	go e.srv.Serve(ln)
	d.Set(e.Entry)
	return e, nil
}

// Close stops the engine.
func (e *InstantEngine) Close() error { return e.srv.Close() }
