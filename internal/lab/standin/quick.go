package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
)

// InstantEngine is a box without an engine: it answers every request at once with a short stream. It is for measuring what a
// router itself costs.
type InstantEngine struct {
	Entry
	srv *http.Server
}

// StartInstantEngine listens and has discovery tell of it.
func StartInstantEngine(name string, d *Discovery) (*InstantEngine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	q := &InstantEngine{Entry: Entry{Host: name, Dial: ln.Addr().String(), Site: "room", Class: "gpu", Health: "Ready", Share: 1}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Call-Id")
		w.Header().Set("Content-Type", "text/event-stream")
		event := appendEvent(nil, id, 0, 4, true)
		event = fmt.Appendf(event, `data: {"choices":[],"usage":{"prompt_tokens":100,"completion_tokens":4,`+
			`"prompt_tokens_details":{"cached_tokens":64}}}`+"\n\ndata: [DONE]\n\n")
		_, _ = w.Write(event)
		_ = http.NewResponseController(w).Flush() // in chunks, as a stream comes
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x1=0,concurrent=0") })
	q.srv = &http.Server{Handler: mux}
	go q.srv.Serve(ln)
	d.Set(q.Entry)
	return q, nil
}

// Close ends it.
func (q *InstantEngine) Close() error { return q.srv.Close() }
