// Package golden compares encodings with the files in a package's testdata/golden directory. The files hold the output of
// commit 38814e2 and guard compatibility with that version on the wire and on disk. A file changes only together with the
// version of its format; go test ./internal/x -update-golden rewrites the files of a package.
package golden

import (
	"bytes"
	"encoding/hex"
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update-golden", false, "rewrite the files in testdata/golden")

const (
	dir       = "testdata/golden"
	lineBytes = 32 // per line of a .hex file, to keep diffs readable
)

// Updating reports whether the test run rewrites the files instead of comparing them.
func Updating() bool { return *update }

// Path returns the path of the named golden file or directory, relative to the package.
func Path(name string) string { return filepath.Join(dir, name) }

// Read returns the contents of a golden file. Files with the extension .hex are decoded from hexadecimal digits.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	if filepath.Ext(name) != ".hex" {
		return b
	}
	b, err = hex.DecodeString(strings.Join(strings.Fields(string(b)), ""))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return b
}

// Check fails the test unless got equals the contents of the file.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	if *update {
		write(t, name, got)
	}
	if want := Read(t, name); !bytes.Equal(want, got) {
		t.Errorf("%s: encoding differs from the golden file\nwant %x\ngot  %x", name, want, got)
	}
}

func write(t testing.TB, name string, b []byte) {
	t.Helper()
	if filepath.Ext(name) == ".hex" {
		var text bytes.Buffer
		for len(b) > 0 {
			n := min(lineBytes, len(b))
			text.WriteString(hex.EncodeToString(b[:n]) + "\n")
			b = b[n:]
		}
		b = text.Bytes()
	}
	if err := os.MkdirAll(filepath.Dir(Path(name)), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(Path(name), b, 0o644); err != nil {
		t.Fatal(err)
	}
}

// RoundTrip fails the test unless value encodes to the contents of the file, the file decodes to value, and the decoded value
// encodes to the same bytes. The comparison includes unexported fields.
func RoundTrip[T any](t testing.TB, name string, value T, encode func(T) []byte, decode func([]byte) (T, error)) {
	t.Helper()
	Check(t, name, encode(value))
	b := Read(t, name)
	got, err := decode(b)
	if err != nil {
		t.Errorf("%s: %v", name, err)
		return
	}
	Equal(t, name, value, got)
	if again := encode(got); !bytes.Equal(b, again) {
		t.Errorf("%s: the decoded value encodes to different bytes\nwant %x\ngot  %x", name, b, again)
	}
}

// Equal fails the test unless want and got are equal, including their unexported fields.
func Equal(t testing.TB, name string, want, got any) {
	t.Helper()
	exported := cmp.Exporter(func(reflect.Type) bool { return true })
	addrs := cmp.Comparer(func(x, y netip.AddrPort) bool { return x == y })
	if diff := cmp.Diff(want, got, exported, addrs); diff != "" {
		t.Errorf("%s (-want +got):\n%s", name, diff)
	}
}

// CopyFolder copies a golden directory to a temporary directory that the test may modify, and returns its path.
func CopyFolder(t testing.TB, name string) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), filepath.Base(name))
	if err := os.CopyFS(to, os.DirFS(Path(name))); err != nil {
		t.Fatal(err)
	}
	return to
}

// SaveFolder replaces a golden directory with a copy of from, leaving out the files named in without.
func SaveFolder(t testing.TB, name, from string, without ...string) {
	t.Helper()
	if err := os.RemoveAll(Path(name)); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(Path(name), os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	for _, w := range without {
		if err := os.Remove(filepath.Join(Path(name), w)); err != nil {
			t.Fatal(err)
		}
	}
}
