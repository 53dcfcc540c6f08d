// Package framing looks at the head of an HTTP message as a whole before it is parsed, on either side.
package framing

import (
	"bufio"
	"bytes"
)

// Head returns the head that comes next, without taking it from the buffer, which bounds it: one that does not
// fit ends in bufio.ErrBufferFull.
func Head(br *bufio.Reader) ([]byte, error) {
	for {
		b, _ := br.Peek(br.Buffered())
		if n := end(b); n > 0 {
			return b[:n], nil
		}
		if _, err := br.Peek(len(b) + 1); err != nil {
			return nil, err
		}
	}
}

// end tells where the first empty line in b ends, or 0.
func end(b []byte) int {
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

// Single tells whether a head says in just one way where its message ends. net/http takes heads that another
// reader of the same bytes could end elsewhere, and the rest of the body would pass for a further message: a
// length beside chunks, a length given twice, lines that are folded, a bare carriage return, a name with a blank in it (which is
// none that net/http knows, and goes on as it came).
func Single(head []byte) bool {
	lengths, codings, first := 0, 0, true
	for line := range bytes.Lines(head) {
		if line[0] == ' ' || line[0] == '\t' {
			return false
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if name = bytes.TrimRight(name, "\r\n"); !first && (bytes.IndexByte(name, ' ') >= 0 || bytes.IndexByte(name, '\t') >= 0) {
			return false
		}
		first = false
		switch string(bytes.ToLower(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			codings++
		}
	}
	return lengths+codings <= 1 && bytes.Count(head, []byte("\r")) == bytes.Count(head, []byte("\r\n"))
}

// Merged tells whether the status line of another answer stands within the head of one: a peer that broke off within a head
// and then went on with the next answer gives both in one, which reads as a head with an odd header.
func Merged(head []byte) bool {
	const version, rest = "HTTP/1.", len("1 200 ")
	for at := len(version); ; {
		i := bytes.Index(head[min(at, len(head)):], []byte(version))
		if i < 0 {
			return false
		}
		if at += i + len(version); at+rest > len(head) {
			return false
		}
		code := head[at+2 : at+5]
		if head[at+1] == ' ' && (head[at+5] == ' ' || head[at+5] == '\r' || head[at+5] == '\n') &&
			bytes.IndexFunc(code, func(c rune) bool { return c < '0' || c > '9' }) < 0 {
			return true
		}
	}
}

// Plain tells whether a head has no control characters but those that end its lines, and tabs.
func Plain(head []byte) bool {
	for _, c := range head {
		if c < ' ' && c != '\t' && c != '\r' && c != '\n' || c == 0x7f {
			return false
		}
	}
	return true
}
