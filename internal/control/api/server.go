package api

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/net/netutil"
)

// Limits of calls. The limit of a configuration is fleetconfig.MaxBytes.
const (
	maxCallBytes        = 4 << 10  // body of an engine's call
	maxExplainBytes     = 64 << 10 // body of /fleet/explain
	maxHeaderBytes      = 16 << 10 // head of a call
	maxNameBytes        = 200      // an id, a name, an address
	maxConns            = 256
	headTimeout         = 5 * time.Second
	bodyTimeout         = 10 * time.Second
	connIdleTimeout     = 30 * time.Second
	contentTypeCBOR     = "application/cbor"
	contentTypeJSON     = "application/json"
	headerRevision      = "X-Revision"
	headerRevisionMatch = "X-Revision-Match"
)

// server decodes calls, passes them to a Handler, and encodes the responses.
type server struct {
	h Handler
}

// NewHandler returns an http.Handler that serves the calls of this package by h.
func NewHandler(h Handler) http.Handler {
	s := &server{h: h}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /Instances.Heartbeat/{id}", respond(s.heartbeat))
	mux.HandleFunc("POST /Instances.Deregister/{id}", respond(s.deregister))
	mux.HandleFunc("POST /Configuration.Replace", s.redirected(respond(s.replaceConfig)))
	mux.HandleFunc("GET /Configuration.Describe", s.redirected(respond(s.describeConfig)))
	mux.HandleFunc("GET /fleet/status", respond(s.status))
	mux.HandleFunc("GET /fleet/history", s.redirected(respond(s.configHistory)))
	mux.HandleFunc("GET /fleet/engines", respond(s.engines))
	mux.HandleFunc("POST /fleet/explain", respond(s.explain))
	mux.HandleFunc("DELETE /fleet/members/{name}", s.redirected(respond(s.removeMember)))
	return mux
}

// NewServer returns a server for Serve, with timeouts and limits set.
func NewServer(h Handler) *http.Server {
	return &http.Server{
		Handler: NewHandler(h), ReadHeaderTimeout: headTimeout, ReadTimeout: headTimeout + bodyTimeout,
		IdleTimeout: connIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// Serve serves calls on a listener until the server or the listener is closed, for which it returns nil.
func Serve(server *http.Server, ln net.Listener) error {
	err := server.Serve(netutil.LimitListener(ln, maxConns))
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// respond wraps a call and writes the error that it returns. A call that succeeds writes its own response.
func respond(call func(w http.ResponseWriter, r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := call(w, r); err != nil {
			e := asError(err)
			writeCBOR(w, e.Status, map[string]string{"error_message": e.Message})
		}
	}
}

// readBody reads a body of at most maxBytes bytes.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errorf(StatusTooLarge, "body: more than %d bytes", maxBytes)
	case err != nil:
		return nil, errorf(StatusInvalid, "body: %v", err)
	}
	return b, nil
}

// pathName returns the path value of key, an id or name. Errors refer to it as field.
func pathName(r *http.Request, key, field string) (string, error) {
	name := r.PathValue(key)
	if name == "" || len(name) > maxNameBytes {
		return "", errorf(StatusInvalid, "%s: must be 1 to %d bytes", field, maxNameBytes)
	}
	return name, nil
}

func writeCBOR(w http.ResponseWriter, s Status, v any) {
	b, err := cbor.Marshal(v)
	if err != nil {
		s, b = StatusInternal, nil
	}
	writeBody(w, s, contentTypeCBOR, b)
}

func writeBody(w http.ResponseWriter, s Status, contentType string, b []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(int(s))
	_, _ = w.Write(b) // fails only if the caller has disconnected
}

func writeJSON(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", contentTypeJSON)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
	return nil
}
