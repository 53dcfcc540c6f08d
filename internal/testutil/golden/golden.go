// Package golden compares encodings with files under a package's testdata/golden. The files hold what the program wrote at
// 38814e2, so that a process, a disk or a client of that version and later ones read each other. A file is changed only
// together with the version of its format: go test ./internal/x -update-golden writes those of a package anew.
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

var update = flag.Bool("update-golden", false, "write the files under testdata/golden anew")

const (
	dir       = "testdata/golden"
	lineBytes = 32 // of a .hex file, so that a difference is seen in a review
)

// Updating tells whether the files are written anew instead of compared.
func Updating() bool { return *update }

// Path returns the path of a golden file or folder.
func Path(name string) string { return filepath.Join(dir, name) }

// Read returns a file's bytes. One whose name ends in .hex holds them as hexadecimal digits.
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

// Check fails the test unless got is what the file holds.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	if *update {
		write(t, name, got)
	}
	if want := Read(t, name); !bytes.Equal(want, got) {
		t.Errorf("%s: the bytes have changed\nwant %x\ngot  %x", name, want, got)
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

// RoundTrip fails the test unless value is encoded to the file's bytes, these are decoded to value, and what was decoded is
// encoded to the same bytes again. Unexported fields are compared, too.
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
		t.Errorf("%s: what was decoded is encoded to other bytes\nwant %x\ngot  %x", name, b, again)
	}
}

// Equal fails the test unless two values are the same, unexported fields among them.
func Equal(t testing.TB, name string, want, got any) {
	t.Helper()
	exported := cmp.Exporter(func(reflect.Type) bool { return true })
	addrs := cmp.Comparer(func(x, y netip.AddrPort) bool { return x == y })
	if diff := cmp.Diff(want, got, exported, addrs); diff != "" {
		t.Errorf("%s (-want +got):\n%s", name, diff)
	}
}

// CopyFolder copies a golden folder to a temporary one, which the test may change.
func CopyFolder(t testing.TB, name string) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), filepath.Base(name))
	if err := os.CopyFS(to, os.DirFS(Path(name))); err != nil {
		t.Fatal(err)
	}
	return to
}

// SaveFolder replaces a golden folder by another one, but for the files named.
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
