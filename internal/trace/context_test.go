package trace

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const goodParent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

func TestParseParent(t *testing.T) {
	for in, ok := range map[string]bool{
		goodParent:                      true,
		"cc" + goodParent[2:]:           true, // a later version: the fields of version 00 are parsed
		"cc" + goodParent[2:] + "-what": true,
		"cc" + goodParent[2:] + "what":  false,
		goodParent + "-what":            false, // version 00 has no further fields
		"ff" + goodParent[2:]:           false,
		strings.ToUpper(goodParent):     false,
		"00-00000000000000000000000000000000-00f067aa0ba902b7-01": false,
		"00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01": false,
		"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0":  false,
		"": false,
	} {
		if c, got := ParseParent(in); got != ok || !ok && c != (Context{}) {
			t.Errorf("%q: %v, %v", in, got, c)
		}
	}
}

func TestParseState(t *testing.T) {
	long := "a=" + strings.Repeat("x", 200)
	for _, c := range []struct {
		in   []string
		want string
		ok   bool
	}{
		{nil, "", true},
		{[]string{"ot=th:c, b=2", " ,c=3"}, "ot=th:c,b=2,c=3", true},
		{[]string{"b=1,b=2"}, "", false},
		{[]string{"B=1"}, "", false},
		{[]string{"b"}, "", false},
		{[]string{"t1@sys=1,1t@sys=x"}, "t1@sys=1,1t@sys=x", true},
		{[]string{"b=a=b"}, "", false},
		{[]string{long, "b" + long, "c" + long, "d=1"}, "b" + long + ",c" + long + ",d=1", true}, // the first long member is removed
		{[]string{strings.Repeat("a=1,", 33)}, "", false},
	} {
		if got, ok := ParseState(c.in...); got != c.want || ok != c.ok {
			t.Errorf("%q: %q, %v", c.in, got, ok)
		}
	}
}

func FuzzParseParent(f *testing.F) {
	f.Add(goodParent)
	f.Add("cc" + goodParent[2:] + "-x")
	f.Fuzz(func(t *testing.T, s string) {
		c, ok := ParseParent(s)
		if !ok {
			return
		}
		again, ok := ParseParent(string(c.AppendParent(nil)))
		if !ok || again != c {
			t.Errorf("%q is parsed as %v, which does not round-trip: %v", s, c, again)
		}
	})
}

func FuzzParseState(f *testing.F) {
	f.Add("ot=th:c;rv:0123456789abcd,b=2", "c=3")
	f.Add("a@b=1", ",,")
	f.Fuzz(func(t *testing.T, a, b string) {
		s, ok := ParseState(a, b)
		if !ok && s != "" || len(s) > maxState {
			t.Fatalf("%q, %q: %q, %v", a, b, s, ok)
		}
		if again, ok := ParseState(s); !ok || again != s {
			t.Errorf("%q is propagated as %q, which is parsed as %q", a, s, again)
		}
		for _, in := range []bool{true, false} {
			sampler := NewSampler(0.01, 0)
			next := sampler.state(s, in)
			if again, ok := ParseState(next); !ok || again != next {
				t.Errorf("%q is propagated as %q, which is parsed as %q", s, next, again)
			}
		}
	})
}

func TestShareIsConsistent(t *testing.T) {
	// A trace in a share is in every larger share, at every router, and its tracestate has the threshold of the sampler.
	rapid.Check(t, func(t *rapid.T) {
		var id TraceID
		copy(id[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "id"))
		small := rapid.Float64Range(0, 1).Draw(t, "small")
		large := rapid.Float64Range(small, 1).Draw(t, "large")
		a, b := NewSampler(small, 0), NewSampler(large, 0)
		if a.InShare(id, "") && !b.InShare(id, "") {
			t.Fatalf("in the share %v, but not in %v", small, large)
		}
		if a.InShare(id, "") {
			if threshold, _, ok, _ := otelSampling(a.state("x=1", true)); !ok || threshold != a.threshold {
				t.Fatalf("threshold %x is propagated as %x", a.threshold, threshold)
			}
		}
	})
}

func TestShareIsAccurate(t *testing.T) {
	s, r := NewSampler(0.1, 0), New(Options{Seed: 1}, nil)
	n := 0
	for range 20000 {
		if s.InShare(r.newTraceID(), "") {
			n++
		}
	}
	if n < 1850 || n > 2150 {
		t.Errorf("%d of 20,000 traces are in a share of 0.1", n)
	}
	if in := s.InShare(TraceID{}, "ot=rv:ffffffffffffff"); !in {
		t.Error("the randomness in the tracestate does not override the trace ID")
	}
}
