// Package replay replays recorded byte exchanges against network code under test. A recording is a text file:
//
//	# a comment
//	> bytes that the peer sends, escaped as in a Go string
//	< bytes that the program must send; consecutive lines are one write
//	! word ...   a step defined by the test, or one of: close, closed, wait 5s
//
// The step close closes the peer's end of the connection, closed expects that the program has closed its end, and wait sleeps
// for the given duration.
package replay

import (
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// readTimeout bounds a read. It elapses on the fake clock of the synctest bubble.
const readTimeout = time.Hour

// Steps maps the first word of a step to the test's function, which receives the rest of the line.
type Steps map[string]func(rest string)

// player replays one recording.
type player struct {
	t     *testing.T
	conn  net.Conn
	path  string
	lines []string
	at    int // index of the current line
	steps Steps
}

// Play replays the recording at path, acting as the peer on conn. It must run in a synctest bubble.
func Play(t *testing.T, conn net.Conn, path string, steps Steps) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	p := &player{t: t, conn: conn, path: path, lines: strings.Split(string(text), "\n"), steps: steps}
	for ; p.at < len(p.lines); p.at++ {
		kind, rest, _ := strings.Cut(p.lines[p.at], " ")
		switch kind {
		case ">":
			if _, err := conn.Write(p.unquote(rest)); err != nil {
				p.fatalf("send: %v", err)
			}
		case "<":
			p.expect(rest)
		case "!":
			word, rest, _ := strings.Cut(rest, " ")
			p.step(word, rest)
		case "", "#":
		default:
			p.fatalf("unknown line prefix %q", kind)
		}
	}
}

func (p *player) fatalf(format string, args ...any) {
	p.t.Helper()
	p.t.Fatalf("%s:%d: "+format, append([]any{p.path, p.at + 1}, args...)...)
}

// expect reads one write of the program and compares it with the current line and its continuation lines.
func (p *player) expect(rest string) {
	p.t.Helper()
	first, want := p.at, p.unquote(rest)
	for p.at+1 < len(p.lines) && strings.HasPrefix(p.lines[p.at+1], "< ") {
		p.at++
		want = append(want, p.unquote(p.lines[p.at][2:])...)
	}
	got := make([]byte, 1<<16)
	if err := p.conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		p.fatalf("%v", err)
	}
	n, err := p.conn.Read(got)
	if diff := cmp.Diff(string(want), string(got[:n])); diff != "" {
		p.t.Fatalf("%s:%d: the program sent (-want +got), then %v:\n%s", p.path, first+1, err, diff)
	}
}

func (p *player) step(word, rest string) {
	p.t.Helper()
	switch word {
	case "close":
		p.conn.Close()
	case "closed":
		p.expectClosed()
	case "wait":
		d, err := time.ParseDuration(rest)
		if err != nil {
			p.fatalf("%v", err)
		}
		time.Sleep(d) // on the bubble's fake clock
	default:
		step := p.steps[word]
		if step == nil {
			p.fatalf("unknown step %q", word)
		}
		step(rest)
	}
}

func (p *player) expectClosed() {
	p.t.Helper()
	if err := p.conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil && !errors.Is(err, io.ErrClosedPipe) {
		p.fatalf("%v", err)
	}
	if n, err := p.conn.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		p.fatalf("the connection is not closed: %d bytes, %v", n, err)
	}
}

func (p *player) unquote(s string) []byte {
	p.t.Helper()
	u, err := strconv.Unquote(`"` + strings.ReplaceAll(s, `"`, `\"`) + `"`)
	if err != nil {
		p.fatalf("%v", err)
	}
	return []byte(u)
}
