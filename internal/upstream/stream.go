package upstream

import (
	"bytes"
	"errors"
	"io"
	"math"
	"strconv"
	"strings"

	"notchhinge/policy"
)

// eventReader cuts a stream behind its events.
type eventReader struct {
	body     io.Reader
	maxBytes int
	buf      []byte
	returned int // of buf
	err      error
}

// next returns the whole events that have come in, waiting for one at least. With the stream's end it returns
// the reason: io.EOF if the stream is whole, and then what is left as well. What is no event, or has no end, is
// no part of the stream, and spoils it. A part is valid until the next call.
func (e *eventReader) next() ([]byte, error) {
	n := copy(e.buf[:cap(e.buf)], e.buf[e.returned:])
	e.buf, e.returned = e.buf[:n], 0
	for {
		if e.err != nil {
			e.returned = len(e.buf)
			if !errors.Is(e.err, io.EOF) {
				return nil, e.err
			}
			if n, ok := wellFormed(e.buf); !ok {
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
		if end := max(endOf(e.buf, "\n\n"), endOf(e.buf, "\n\r\n")); end > 0 {
			if n, ok := wellFormed(e.buf[:end]); !ok {
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

// wellFormed tells whether b holds nothing but fields of events, or else where its last good event ends. A chunk
// whose size is wrong makes the framing of the next one pass for data.
func wellFormed(b []byte) (good int, ok bool) {
	at := 0
	for line := range bytes.Lines(b) {
		at += len(line)
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch {
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			good = at
		case len(name) == 0: // a comment
		case string(name) == "data", string(name) == "event", string(name) == "id", string(name) == "retry":
		default:
			return good, false
		}
	}
	return len(b), true
}

// endOf tells where the last mark in b ends, or -1.
func endOf(b []byte, mark string) int {
	if at := bytes.LastIndex(b, []byte(mark)); at >= 0 {
		return at + len(mark)
	}
	return -1
}

// ParseLoadReport reads a load report, whose names are the settings' own. Values that it lacks are 0; one without
// any known name counts as none.
func ParseLoadReport(text string, columns []string) policy.Report {
	var r policy.Report
	found := false
	for field := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			continue
		}
		for i, c := range columns {
			if c == name && i < len(r.Values) {
				r.Values[i], found = v, true
			}
		}
	}
	if found {
		r.N = min(len(columns), len(r.Values))
	}
	return r
}
