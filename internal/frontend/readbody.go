package frontend

import (
	"errors"
	"io"
	"net/http"
	"os"
)

// initialChunkedBody is the initial reservation for a chunked body, in bytes. The reservation doubles as the body grows.
const initialChunkedBody = 256 << 10

var (
	errNoBodyCapacity = errors.New("body quota exhausted")
	errBodyTooLarge   = errors.New("request body too large")
)

// readBody reads the body of a request, up to maxBytes, or rejects the request. Unless it rejects the request, the caller must
// release the reservation.
func (s *Server) readBody(req *http.Request, dst *Destination, maxBytes int64) ([]byte, reservation, *Rejection) {
	if req.ContentLength > maxBytes {
		return nil, reservation{}, s.rejectBody(errBodyTooLarge, dst)
	}
	size := req.ContentLength
	if size < 0 {
		size = min(maxBytes, initialChunkedBody)
	}
	reserved, rejection := s.reserve(dst, size)
	if rejection != nil {
		return nil, reservation{}, rejection
	}
	var body []byte
	var err error
	if req.ContentLength >= 0 {
		body = make([]byte, req.ContentLength)
		_, err = io.ReadFull(req.Body, body)
	} else {
		body, err = s.readChunked(req.Body, &reserved, maxBytes)
	}
	if err != nil {
		s.release(reserved)
		return nil, reservation{}, s.rejectBody(err, dst)
	}
	return body, reserved, nil
}

// readChunked reads a body of unknown length. It extends the reservation whenever the body exceeds it, so the body is never more than
// one byte larger. It returns errNoBodyCapacity, errBodyTooLarge, or an error of r.
func (s *Server) readChunked(r io.Reader, reserved *reservation, maxBytes int64) ([]byte, error) {
	var body []byte
	for {
		part, err := io.ReadAll(io.LimitReader(r, reserved.body+1-int64(len(body))))
		body = append(body, part...)
		size := int64(len(body))
		switch {
		case err != nil:
			return nil, err
		case size > maxBytes:
			return nil, errBodyTooLarge
		case size <= reserved.body:
			return body, nil
		case !s.extend(reserved, min(reserved.body, maxBytes-reserved.body)):
			return nil, errNoBodyCapacity
		}
	}
}

// rejectBody returns the rejection of a request whose body could not be read.
func (s *Server) rejectBody(err error, dst *Destination) *Rejection {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return &Rejection{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too large", bodyUnread: true}
	case errors.Is(err, errNoBodyCapacity):
		return &Rejection{Status: http.StatusServiceUnavailable, Reason: "no room", RetryAfter: s.Limits.OverloadRetryAfter, bodyUnread: true}
	case errors.Is(err, os.ErrDeadlineExceeded) && !dst.BodyDeadline.IsZero():
		return &Rejection{Status: http.StatusRequestTimeout, Reason: "the body took too long", bodyUnread: true}
	}
	return &Rejection{Status: http.StatusBadRequest, Reason: "the body is malformed or cut off", bodyUnread: true}
}
