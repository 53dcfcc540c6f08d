// Package exchange plays recorded byte exchanges against the program's network code, for tests. A recording
// is a text file:
//
//	# a comment
//	> bytes that the peer sends, escaped as in a Go string
//	< bytes that the program must send; lines that follow one another are one write
//	! word ...   something that the test does, or one of: close, closed, wait 5s
//
// close ends the connection from the peer's side, closed expects that the program has ended it, and wait lets
// that much time pass.
package exchange

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

// Does are a test's own steps, by their first word; they get the rest of the line.
type Does map[string]func(rest string)

// Play plays the file against the program at the other end of conn. It must run in a synctest bubble.
func Play(t *testing.T, conn net.Conn, path string, does Does) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(text), "\n")
	for at := 0; at < len(lines); at++ {
		kind, rest, _ := strings.Cut(lines[at], " ")
		switch kind {
		case ">":
			if _, err := conn.Write(unquote(t, path, at, rest)); err != nil {
				t.Fatalf("%s:%d: send: %v", path, at+1, err)
			}
		case "<":
			first, want := at, unquote(t, path, at, rest)
			for ; at+1 < len(lines) && strings.HasPrefix(lines[at+1], "< "); at++ {
				want = append(want, unquote(t, path, at+1, lines[at+1][2:])...)
			}
			got := make([]byte, 1<<16)
			conn.SetReadDeadline(time.Now().Add(time.Hour))
			n, err := conn.Read(got)
			if diff := cmp.Diff(string(want), string(got[:n])); diff != "" {
				t.Fatalf("%s:%d: the program sent (-want +got), then %v:\n%s", path, first+1, err, diff)
			}
		case "!":
			word, rest, _ := strings.Cut(rest, " ")
			step(t, conn, path, at, word, rest, does)
		case "", "#":
		default:
			t.Fatalf("%s:%d: %q is no step", path, at+1, kind)
		}
	}
}

func step(t *testing.T, conn net.Conn, path string, at int, word, rest string, does Does) {
	t.Helper()
	switch word {
	case "close":
		conn.Close()
	case "closed":
		conn.SetReadDeadline(time.Now().Add(time.Hour))
		if n, err := conn.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
			t.Fatalf("%s:%d: the connection is not closed: %d bytes, %v", path, at+1, n, err)
		}
	case "wait":
		d, err := time.ParseDuration(rest)
		if err != nil {
			t.Fatalf("%s:%d: %v", path, at+1, err)
		}
		time.Sleep(d) // of the bubble's own time
	default:
		do := does[word]
		if do == nil {
			t.Fatalf("%s:%d: %q is no step", path, at+1, word)
		}
		do(rest)
	}
}

func unquote(t *testing.T, path string, at int, s string) []byte {
	t.Helper()
	u, err := strconv.Unquote(`"` + strings.ReplaceAll(s, `"`, `\"`) + `"`)
	if err != nil {
		t.Fatalf("%s:%d: %v", path, at+1, err)
	}
	return []byte(u)
}
