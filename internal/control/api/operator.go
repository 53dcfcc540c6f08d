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

// redirected wraps a handler that needs the control state; a process without the state redirects the call. The redirect is
// written before the body is read, because transferring a large configuration can take up a machine's link for a second. Body
// bytes that the caller sends anyway are discarded: closing the connection early could reset it before the caller has read the
// response.
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
		_ = rc.Flush()                                                           // fails only if the caller has disconnected
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

// writeRevision writes the resulting revision of a call that changes the control state, or returns its error.
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

// explain reads the head of a request from the body: what a client would send, up to the empty line.
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
