// Package framing checks the complete head of an HTTP/1.1 request or response before it is parsed. It prevents request smuggling:
// net/http accepts heads for which another parser may determine a different end of the message and take the rest of the body for
// another message (RFC 9112, section 11.2).
package framing

import (
	"bufio"
	"bytes"
)

// PeekHead returns the next head, up to and including the empty line that ends it, without consuming it. If the head does not fit
// into the buffer of br, the error is bufio.ErrBufferFull.
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

// headEnd returns the offset after the first empty line of b, or 0 if there is none.
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

// HasUniqueFraming reports whether a head unambiguously determines the end of its message. These make it ambiguous: more than one
// Content-Length or Transfer-Encoding header, counted together; a folded line; a bare carriage return; and white space in a header
// name, which net/http accepts as part of an unknown name.
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

// ContainsStatusLine reports whether a head contains the status line of another response. If a faulty peer truncates a head and
// continues with the next response, both would otherwise be parsed as a single head with an unknown header.
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

// isStatusLineRest reports whether b can follow "HTTP/1." in a status line: any minor version, a space, three digits, and a space or
// the end of the line.
func isStatusLineRest(b []byte) bool {
	code, end := b[2:5], b[5]
	isNumber := bytes.IndexFunc(code, func(c rune) bool { return c < '0' || c > '9' }) < 0
	return b[1] == ' ' && (end == ' ' || end == '\r' || end == '\n') && isNumber
}

// HasNoControlBytes reports whether a head contains no control characters other than tab, carriage return and line feed.
func HasNoControlBytes(head []byte) bool {
	for _, c := range head {
		if c < ' ' && c != '\t' && c != '\r' && c != '\n' || c == 0x7f {
			return false
		}
	}
	return true
}
