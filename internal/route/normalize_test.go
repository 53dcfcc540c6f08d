package route

import (
	"strings"
	"testing"
)

func TestNormalizeHost(t *testing.T) {
	for in, want := range map[string]string{
		"Runs.Example.ORG": "runs.example.org", "runs.example.org.": "runs.example.org", "runs.example.org:8080": "runs.example.org",
		"[2001:DB8:0::1]:80": "2001:db8::1", "[::1]": "::1", "10.0.0.1:5": "10.0.0.1", "a_b-c": "a_b-c", "A.:1": "a",
		"": "", ".": "", "a..b": "", "a..": "", "0..:80": "", ".a": "", "a b": "", "[::1": "", "[fe80::1%25eth0]": "", "a:80x": "", "a:123456": "", "::1": "",
		"a/b": "", "ä": "", "u@h": "", strings.Repeat("a", 64): "", strings.Repeat("a.", 127) + "a": "", "[1.2.3.4]": "",
	} {
		if got, err := NormalizeHost(in); got != want || (err == nil) != (want != "") {
			t.Errorf("%q: %q, %v; want %q", in, got, err, want)
		}
	}
}

func TestNormalizePath(t *testing.T) {
	for in, want := range map[string]string{
		"/": "/", "/v1/chat": "/v1/chat", "/v1/chat/": "/v1/chat/", "/%41%7e": "/A~", "/a%c3%a4": "/a%C3%A4", "/a%20b": "/a%20b",
		"/a;b=1,c@d:e!$&'()*+=": "/a;b=1,c@d:e!$&'()*+=", "/...": "/...", "/%2e%2e%2e": "/...", "/a.b": "/a.b", "/%2541": "/%2541",
		"": "", "a": "", "/a//b": "", "//a": "", "/.": "", "/a/..": "", "/a/../b": "", "/%2e": "", "/%2E%2e/a": "", "/.%2e": "", "/a%2fb": "",
		"/a%5Cb": "", `/a\b`: "", "/a%00": "", "/a%0d%0a": "", "/a%7F": "", "/a%": "", "/a%4": "", "/a%4g": "", "/a b": "", "/ä": "", "/a?b": "",
		"/a#b": "", "/a\x7f": "",
	} {
		if got, err := NormalizePath(in); got != want || (err == nil) != (want != "") {
			t.Errorf("%q: %q, %v; want %q", in, got, err, want)
		}
	}
}

// BenchmarkNormalize measures the normalization of a request's host and path.
func BenchmarkNormalize(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_, _, _ = SplitHostPort("runs.example.org:8080")
		_, _ = NormalizePath("/v1/chat/completions")
	}
}

func FuzzNormalizePath(f *testing.F) {
	for _, s := range []string{"/v1/chat", "/%2e%2e/a", "/a//b", "/a%2Fb", "/%41", "/a%c3%A4", "/a;.."} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		p, err := NormalizePath(s)
		if err != nil {
			return
		}
		if again, err := NormalizePath(p); err != nil || again != p {
			t.Fatalf("%q is normalized to %q, and that to %q, %v", s, p, again, err)
		}
		// A server that decodes the path once more sees the same segments.
		for _, seg := range strings.Split(p[1:], "/") {
			if plain := decodeOnce(seg); plain == "." || plain == ".." || strings.ContainsAny(plain, "/\\") {
				t.Fatalf("%q has the segment %q", p, plain)
			}
		}
		if decodeOnce(s) != decodeOnce(p) {
			t.Fatalf("%q is normalized to %q, which is another path", s, p)
		}
	})
}

func decodeOnce(s string) string {
	var b []byte
	for i := 0; i < len(s); i++ {
		if v, ok := decodeEscape(s, i); ok && s[i] == '%' {
			b = append(b, v)
			i += 2
			continue
		}
		b = append(b, s[i])
	}
	return string(b)
}

func FuzzSplitHostPort(f *testing.F) {
	for _, s := range []string{"Runs.example.org:80", "[2001:db8::1]:1", "a.", "0..", "10.1.2.3"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		h, port, err := SplitHostPort(s)
		if err != nil {
			return
		}
		if again, p, err := SplitHostPort(JoinHostPort(h, port)); err != nil || again != h || p != port {
			t.Fatalf("%q is split into %q%q, and that into %q%q, %v", s, h, port, again, p, err)
		}
		if h != strings.ToLower(h) || strings.HasSuffix(h, ".") {
			t.Fatalf("%q is normalized to %q", s, h)
		}
	})
}
