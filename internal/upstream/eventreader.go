package upstream

import (
	"bytes"
	"errors"
	"io"
)

// eventReader splits a stream of server-sent events (HTML standard, "Server-sent events") at event boundaries.
type eventReader struct {
	body     io.Reader
	maxBytes int // of one event
	buf      []byte
	returned int // bytes of buf that next has returned
	err      error
}

// next returns the complete events that have arrived and blocks until there is at least one. At the end of the stream it returns
// an error: io.EOF, along with the remaining bytes, if the stream is complete. Bytes that are not an event, or an event longer
// than maxBytes, make the stream malformed. The returned bytes are valid until the next call.
func (e *eventReader) next() ([]byte, error) {
	n := copy(e.buf[:cap(e.buf)], e.buf[e.returned:])
	e.buf, e.returned = e.buf[:n], 0
	for {
		if e.err != nil {
			e.returned = len(e.buf)
			if !errors.Is(e.err, io.EOF) {
				return nil, e.err
			}
			if n, ok := checkFields(e.buf); !ok {
				return e.buf[:n], errMalformedResponse
			}
			return e.buf, e.err
		}
		if len(e.buf) == cap(e.buf) {
			if len(e.buf) >= e.maxBytes {
				e.err = errMalformedResponse
				return nil, e.err
			}
			e.buf = append(make([]byte, 0, min(2*cap(e.buf), e.maxBytes)), e.buf...)
		}
		n, err := e.body.Read(e.buf[len(e.buf):cap(e.buf)])
		e.buf, e.err = e.buf[:len(e.buf)+n], err
		if end := max(endOfLast(e.buf, "\n\n"), endOfLast(e.buf, "\n\r\n")); end > 0 {
			if n, ok := checkFields(e.buf[:end]); !ok {
				e.returned, e.err = len(e.buf), errMalformedResponse
				return e.buf[:n], e.err
			}
			e.returned = end
			if e.returned < len(e.buf) {
				return e.buf[:e.returned], nil
			}
			return e.buf[:e.returned], e.err
		}
	}
}

// checkFields reports whether every line of b is a field of an event, and returns the length of the valid events at its start.
// If the size of an HTTP chunk is wrong, the framing of the next chunk would otherwise be forwarded as data.
func checkFields(b []byte) (validLen int, ok bool) {
	offset := 0
	for line := range bytes.Lines(b) {
		offset += len(line)
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch {
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			validLen = offset
		case len(name) == 0: // a comment
		case string(name) == "data", string(name) == "event", string(name) == "id", string(name) == "retry":
		default:
			return validLen, false
		}
	}
	return len(b), true
}

// endOfLast returns the offset after the last separator in b, or -1.
func endOfLast(b []byte, separator string) int {
	if i := bytes.LastIndex(b, []byte(separator)); i >= 0 {
		return i + len(separator)
	}
	return -1
}
