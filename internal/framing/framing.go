// Package framing checks the head of an HTTP/1.1 message as a whole before it is parsed, for requests and responses alike. It
// prevents request smuggling: net/http accepts heads whose end of message another reader of the same bytes may see elsewhere, so
// that the rest of a body would pass for another message (RFC 9112, section 11.2).
package framing

import (
	"bufio"
	"bytes"
)

// PeekHead returns the next head without consuming it. It reads until the empty line that ends the head. The reader's buffer bounds
// it: a head that does not fit is the error bufio.ErrBufferFull.
func PeekHead(br *bufio.Reader) ([]byte, error) {
	for {
		b, _ := br.Peek(br.Buffered())
		if n := headEnd(b); n > 0 {
			return b[:n], nil
		}
		if _, err := br.Peek(len(b) + 1); err != nil {
			return nil, err
		}
	}
}

// headEnd returns the offset after the first empty line of b, or 0.
func headEnd(b []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return 0
		}
		at += n + 1
		if rest := b[at:]; bytes.HasPrefix(rest, []byte("\n")) {
			return at + 1
		} else if bytes.HasPrefix(rest, []byte("\r\n")) {
			return at + 2
		}
	}
}

// HasUniqueFraming reports whether a head says in just one way where its message ends. It does not with a Content-Length beside a
// Transfer-Encoding, with either of them twice, with folded lines, with a bare carriage return, or with white space in a header's
// name (which net/http takes for an unknown header and passes on).
func HasUniqueFraming(head []byte) bool {
	framingHeaders, isFirstLine := 0, true
	for line := range bytes.Lines(head) {
		if isBlank(line[0]) {
			return false
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimRight(name, "\r\n")
		if !isFirstLine && bytes.ContainsFunc(name, func(r rune) bool { return r == ' ' || r == '\t' }) {
			return false
		}
		isFirstLine = false
		switch string(bytes.ToLower(name)) {
		case "content-length", "transfer-encoding":
			framingHeaders++
		}
	}
	return framingHeaders <= 1 && bytes.Count(head, []byte("\r")) == bytes.Count(head, []byte("\r\n"))
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// ContainsStatusLine reports whether the status line of another response stands within a head. A peer that broke off within a head
// and went on with the next response sends both as one head, which parses as one with an odd header.
func ContainsStatusLine(head []byte) bool {
	const version, rest = "HTTP/1.", len("1 200 ")
	for at := len(version); ; {
		i := bytes.Index(head[min(at, len(head)):], []byte(version))
		if i < 0 {
			return false
		}
		at += i + len(version)
		if at+rest > len(head) {
			return false
		}
		if isStatusLineRest(head[at : at+rest]) {
			return true
		}
	}
}

// isStatusLineRest reports whether b is what follows "HTTP/1." in a status line: a minor version, a blank, three digits and a blank
// or the end of the line.
func isStatusLineRest(b []byte) bool {
	code, end := b[2:5], b[5]
	isNumber := bytes.IndexFunc(code, func(c rune) bool { return c < '0' || c > '9' }) < 0
	return b[1] == ' ' && (end == ' ' || end == '\r' || end == '\n') && isNumber
}

// HasNoControlBytes reports whether a head has no control characters but tabs and those that end its lines.
func HasNoControlBytes(head []byte) bool {
	for _, c := range head {
		if c < ' ' && c != '\t' && c != '\r' && c != '\n' || c == 0x7f {
			return false
		}
	}
	return true
}
