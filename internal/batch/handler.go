package batch

import (
	_ "embed"
	"encoding/json"
	"net/http"
	"strings"
)

// The documents that describe the API and its event stream, embedded to be served.
var (
	//go:embed openapi.yaml
	openAPI []byte
	//go:embed asyncapi.yaml
	asyncAPI []byte
)

// Prefixes and suffix of IDs in the API. The spool uses the IDs without them.
const (
	filePrefix   = "file-"
	batchPrefix  = "batch_"
	resultSuffix = "-result"
)

// Handler returns the handler of the HTTP API.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /openapi.yaml", serveDocument(openAPI))
	mux.HandleFunc("GET /asyncapi.yaml", serveDocument(asyncAPI))
	for pattern, serve := range map[string]func(*team, http.ResponseWriter, *http.Request) error{
		"POST /v1/files":               s.postFile,
		"GET /v1/files/{id}":           s.getFile,
		"GET /v1/files/{id}/content":   s.getContent,
		"POST /v1/batches":             s.postBatch,
		"GET /v1/batches":              s.listBatches,
		"GET /v1/batches/{id}":         s.getBatch,
		"POST /v1/batches/{id}/cancel": s.cancelBatch,
		"GET /v1/batches/{id}/events":  s.streamEvents,
	} {
		mux.HandleFunc(pattern, s.forTeam(serve))
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pattern := mux.Handler(r); pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		var probe statusRecorder
		mux.ServeHTTP(&probe, r)
		apiErr := &apiError{status: http.StatusNotFound, code: "no_such_path", message: "no such path"}
		if probe.status == http.StatusMethodNotAllowed {
			apiErr = &apiError{status: probe.status, code: "wrong_method", message: "wrong method", allowMethod: probe.Header().Get("Allow")}
		}
		s.writeError(w, apiErr)
	})
}

// statusRecorder records the status and headers of the mux's response to an unknown path or method, and discards its body.
type statusRecorder struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (s *statusRecorder) Header() http.Header {
	if s.header == nil {
		s.header = http.Header{}
	}
	return s.header
}

// WriteHeader implements http.ResponseWriter.
func (s *statusRecorder) WriteHeader(status int) { s.status = status }

// Write implements http.ResponseWriter.
func (s *statusRecorder) Write(b []byte) (int, error) { return len(b), nil }

// serveDocument returns a handler that serves a YAML document.
func serveDocument(text []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/yaml")
		_, _ = w.Write(text) // fails only if the client has disconnected
	}
}

// forTeam returns a handler that authenticates the team by its API key, calls serve and sends the error that serve returns.
func (s *Service) forTeam(serve func(*team, http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		t := s.teams[key]
		if !ok || t == nil {
			s.writeError(w, &apiError{status: http.StatusUnauthorized, code: "no_team", message: "the key is missing or no team's"})
			return
		}
		if err := serve(t, w, r); err != nil {
			s.writeError(w, err)
		}
	}
}

// writeJSONResponse sends v as a JSON response.
func writeJSONResponse(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
