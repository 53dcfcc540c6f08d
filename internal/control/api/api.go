// Package api answers the calls of engines and of the operator: HTTP/1.1 with CBOR bodies. It owns their form and their
// bounds. What a call means is its Handler's: here nothing is decided and nothing is kept.
package api

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/net/netutil"

	"notchhinge/internal/control/fleetconfig"
)

// Bounds of calls.
const (
	mostBeat  = 4 << 10
	mostHead  = 64 << 10
	mostConns = 256
	headWait  = 5 * time.Second
	bodyWait  = 10 * time.Second
	idleWait  = 30 * time.Second
)

// Heartbeat is an engine's report.
type Heartbeat struct {
	ID                string  `cbor:"-"`
	TargetService     string  `cbor:"target_service"`
	Address           string  `cbor:"address"`
	Zone              string  `cbor:"zone"`
	Revision          string  `cbor:"revision"`
	CapacitySlots     float64 `cbor:"capacity_slots"`
	Status            string  `cbor:"status"`
	WarmupRemainingMS float64 `cbor:"warmup_remaining_ms"`
	CallCount         uint64  `cbor:"call_count"`
}

// Result is an answer to the operator.
type Result struct {
	Status   int
	Message  string // with an error
	Body     []byte // a configuration
	Revision uint64 // its number
}

// Handler does what calls ask for. Each method may wait for as long as its context lasts.
type Handler interface {
	// RedirectTarget is the control address that settles what concerns the state, where this process does not hold it; "" = it
	// does, or nobody is known who does. The caller is sent there before its body is read.
	RedirectTarget() string
	// Heartbeat returns the address for the engine's later beats; "" = any.
	Heartbeat(ctx context.Context, b *Heartbeat) (home string, err error)
	Deregister(ctx context.Context, id string) error
	ReplaceConfig(ctx context.Context, on uint64, text []byte) Result
	DescribeConfig(ctx context.Context) Result
	// ConfigHistory is for the staff: the configurations that were taken, as JSON.
	ConfigHistory(ctx context.Context) Result
	// RemoveMember takes a keeper out that is gone for good, by its name.
	RemoveMember(ctx context.Context, name string) Result
	// Status is for the staff: the state of this process as JSON.
	Status() any
	// Engines is for the staff: those that are known here, as JSON.
	Engines() any
	// Explain is for the staff: what would become of a request with this head, as JSON.
	Explain(r *http.Request) any
}

type server struct {
	h Handler
}

// NewServer returns what answers calls; Serve has it do so at a listener.
func NewServer(h Handler) *http.Server {
	s := &server{h: h}
	return &http.Server{
		Handler: s.mux(), ReadHeaderTimeout: headWait, ReadTimeout: headWait + bodyWait, IdleTimeout: idleWait, MaxHeaderBytes: 16 << 10,
	}
}

// Serve answers calls at a listener until the server is closed.
func Serve(web *http.Server, ln net.Listener) error {
	err := web.Serve(netutil.LimitListener(ln, mostConns))
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// NewHandler is the handler of calls, without a listener.
func NewHandler(h Handler) http.Handler { return (&server{h: h}).mux() }

func (s *server) mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /Instances.Heartbeat/{id}", s.beat)
	mux.HandleFunc("POST /Instances.Deregister/{id}", s.signOff)
	mux.HandleFunc("POST /Configuration.Replace", s.settled(s.replace))
	mux.HandleFunc("GET /Configuration.Describe", s.settled(s.describe))
	mux.HandleFunc("GET /fleet/status", s.status)
	mux.HandleFunc("GET /fleet/history", s.settled(s.history))
	mux.HandleFunc("GET /fleet/engines", s.engines)
	mux.HandleFunc("POST /fleet/explain", s.explain)
	mux.HandleFunc("DELETE /fleet/members/{name}", s.settled(s.dismiss))
	return mux
}

// answer writes a CBOR body.
func answer(w http.ResponseWriter, status int, v any) {
	b, err := cbor.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	w.Write(b)
}

func refuse(w http.ResponseWriter, status int, says string) {
	answer(w, status, map[string]string{"error_message": says})
}

// body reads a body of most bytes.
func body(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		refuse(w, http.StatusRequestEntityTooLarge, "body: too large")
	case err != nil:
		refuse(w, http.StatusBadRequest, "body: "+err.Error())
	}
	return b, err == nil
}

func (s *server) beat(w http.ResponseWriter, r *http.Request) {
	b, ok := body(w, r, mostBeat)
	if !ok {
		return
	}
	beat := &Heartbeat{}
	if err := cbor.Unmarshal(b, beat); err != nil {
		refuse(w, http.StatusBadRequest, "body: "+err.Error())
		return
	}
	beat.ID = r.PathValue("id")
	switch {
	case beat.ID == "" || len(beat.ID) > 200:
		refuse(w, http.StatusBadRequest, "instance_id: 1 to 200 bytes are wanted")
		return
	case beat.TargetService == "" || len(beat.TargetService) > 200 || len(beat.Zone) > 200 || len(beat.Revision) > 200:
		refuse(w, http.StatusBadRequest, "target_service, zone, revision: they are too long, or the first is missing")
		return
	case beat.Status != "ready" && beat.Status != "draining":
		refuse(w, http.StatusBadRequest, "status: ready or draining is wanted")
		return
	}
	if _, _, err := net.SplitHostPort(beat.Address); err != nil || len(beat.Address) > 200 {
		refuse(w, http.StatusBadRequest, "address: an address with a port is wanted")
		return
	}
	home, err := s.h.Heartbeat(r.Context(), beat)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	says := map[string]string{}
	if home != "" {
		says["heartbeat_url"] = home
	}
	answer(w, http.StatusOK, says)
}

func (s *server) signOff(w http.ResponseWriter, r *http.Request) {
	if _, ok := body(w, r, mostBeat); !ok {
		return
	}
	id := r.PathValue("id")
	if id == "" || len(id) > 200 {
		refuse(w, http.StatusBadRequest, "instance_id: 1 to 200 bytes are wanted")
		return
	}
	if err := s.h.Deregister(r.Context(), id); err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	answer(w, http.StatusOK, map[string]string{})
}

// settled sends calls that concern the state to who holds it. A configuration may be as large as what the link of a machine
// that carries traffic takes in a second: it must not go over it, let alone twice. The answer goes out before the body is
// read; what comes of that all the same is taken in, lest its sender be reset before it has seen the answer.
func (s *server) settled(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		to := s.h.RedirectTarget()
		if to == "" {
			next(w, r)
			return
		}
		rc := http.NewResponseController(w)
		if err := rc.EnableFullDuplex(); err != nil {
			w.Header().Set("Connection", "close")
		}
		w.Header().Set("Location", "http://"+to+r.URL.RequestURI())
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusTemporaryRedirect)
		rc.Flush()
		io.Copy(io.Discard, io.LimitReader(r.Body, fleetconfig.MaxBytes)) // ReadTimeout bounds it
	}
}

func (s *server) replace(w http.ResponseWriter, r *http.Request) {
	on, err := strconv.ParseUint(strings.TrimSpace(r.Header.Get("X-Revision-Match")), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "X-Revision-Match: the number of a version is wanted")
		return
	}
	b, ok := body(w, r, fleetconfig.MaxBytes)
	if !ok {
		return
	}
	s.result(w, s.h.ReplaceConfig(r.Context(), on, b))
}

func (s *server) describe(w http.ResponseWriter, r *http.Request) {
	s.result(w, s.h.DescribeConfig(r.Context()))
}

func (s *server) history(w http.ResponseWriter, r *http.Request) {
	x := s.h.ConfigHistory(r.Context())
	if x.Status != http.StatusOK {
		s.result(w, x)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(x.Body)
}

func (s *server) dismiss(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if name == "" || len(name) > 200 {
		refuse(w, http.StatusBadRequest, "name: 1 to 200 bytes are wanted")
		return
	}
	s.result(w, s.h.RemoveMember(r.Context(), name))
}

func (s *server) result(w http.ResponseWriter, x Result) {
	switch {
	case x.Body != nil:
		w.Header().Set("Content-Type", "application/cbor")
		w.Header().Set("X-Revision", strconv.FormatUint(x.Revision, 10))
		w.Header().Set("Content-Length", strconv.Itoa(len(x.Body)))
		w.WriteHeader(x.Status)
		w.Write(x.Body)
	case x.Status >= 300:
		refuse(w, x.Status, x.Message)
	default:
		answer(w, x.Status, map[string]uint64{"revision": x.Revision})
	}
}

func (s *server) status(w http.ResponseWriter, _ *http.Request) { asJSON(w, s.h.Status()) }

func (s *server) engines(w http.ResponseWriter, _ *http.Request) { asJSON(w, s.h.Engines()) }

// explain takes a request's head as its body: what a client would send, up to the empty line.
func (s *server) explain(w http.ResponseWriter, r *http.Request) {
	b, ok := body(w, r, mostHead)
	if !ok {
		return
	}
	head, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(append(bytes.TrimRight(b, "\r\n"), "\r\n\r\n"...))))
	if err != nil {
		refuse(w, http.StatusBadRequest, "body: no head of a request: "+err.Error())
		return
	}
	asJSON(w, s.h.Explain(head))
}

func asJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
