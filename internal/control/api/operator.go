package api

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"notchhinge/internal/control/fleetconfig"
)

// redirected sends calls that need the control state to a process that has it. The redirect is written before the body is
// read: a configuration may be as large as what the link of a machine with client traffic carries in a second. What the
// caller sends of it all the same is read and discarded, as closing the connection could reset it before the caller has seen
// the response.
func (s *server) redirected(next http.HandlerFunc) http.HandlerFunc {
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
		_ = rc.Flush()                                                           // a caller that has gone needs no response
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, fleetconfig.MaxBytes)) // within the server's ReadTimeout
	}
}

func (s *server) replaceConfig(w http.ResponseWriter, r *http.Request) error {
	base, err := strconv.ParseUint(strings.TrimSpace(r.Header.Get(headerRevisionMatch)), 10, 64)
	if err != nil {
		return errorf(StatusInvalid, "%s: must be the number of a revision", headerRevisionMatch)
	}
	b, err := readBody(w, r, fleetconfig.MaxBytes)
	if err != nil {
		return err
	}
	return writeRevision(w, s.h.ReplaceConfig(r.Context(), base, b))
}

func (s *server) describeConfig(w http.ResponseWriter, r *http.Request) error {
	result := s.h.DescribeConfig(r.Context())
	if err := result.Err(); err != nil {
		return err
	}
	w.Header().Set(headerRevision, strconv.FormatUint(result.Revision, 10))
	writeBody(w, StatusOK, contentTypeCBOR, result.Body)
	return nil
}

func (s *server) configHistory(w http.ResponseWriter, r *http.Request) error {
	result := s.h.ConfigHistory(r.Context())
	if err := result.Err(); err != nil {
		return err
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	_, _ = w.Write(result.Body)
	return nil
}

func (s *server) removeMember(w http.ResponseWriter, r *http.Request) error {
	name, err := pathName(r, "name", "name")
	if err != nil {
		return err
	}
	return writeRevision(w, s.h.RemoveMember(r.Context(), name))
}

// writeRevision writes the outcome of a call that changes the control state.
func writeRevision(w http.ResponseWriter, result Result) error {
	if err := result.Err(); err != nil {
		return err
	}
	writeCBOR(w, StatusOK, map[string]uint64{"revision": result.Revision})
	return nil
}

func (s *server) status(w http.ResponseWriter, _ *http.Request) error {
	return writeJSON(w, s.h.Status())
}

func (s *server) engines(w http.ResponseWriter, _ *http.Request) error {
	return writeJSON(w, s.h.Engines())
}

// explain takes the head of a request as its body: what a client would send, up to the empty line.
func (s *server) explain(w http.ResponseWriter, r *http.Request) error {
	b, err := readBody(w, r, maxExplainBytes)
	if err != nil {
		return err
	}
	head := append(bytes.TrimRight(b, "\r\n"), "\r\n\r\n"...)
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return errorf(StatusInvalid, "body: not the head of a request: %v", err)
	}
	return writeJSON(w, s.h.Explain(request))
}
