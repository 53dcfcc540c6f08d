package sim

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func small(variant string) Options {
	return Options{Variant: variant, Seed: 3, Routers: 4, Engines: 12, Zones: 3, Load: 0.5, Length: 6 * time.Second, News: time.Second, Skew: 0.5}
}

func TestRunIsDeterministic(t *testing.T) {
	for _, v := range Variants {
		o := small(v)
		o.Crash = 0.1
		a, err := Run(o)
		if err != nil {
			t.Fatal(err)
		}
		again := make(chan Figures)
		go func() { // concurrently with another run
			b, _ := Run(o)
			again <- b
		}()
		if _, err := Run(small("random")); err != nil {
			t.Error(err)
		}
		if b := <-again; !cmp.Equal(a, b) {
			t.Errorf("%s: %s", v, cmp.Diff(a, b))
		}
		o.Seed++
		if c, _ := Run(o); cmp.Equal(a, c) {
			t.Errorf("%s: figures do not depend on the seed", v)
		}
	}
}

func TestVariantsMeetExpectations(t *testing.T) {
	got := map[string]Figures{}
	for _, v := range Variants {
		f, err := Run(small(v))
		if err != nil {
			t.Fatal(err)
		}
		got[v] = f
		t.Logf("%-7s %+v", v, f)
		if sum := f.WithinTarget + f.Late + f.Rejected + f.Failed; sum < 0.999 || sum > 1.001 || f.Requests != got["design"].Requests {
			t.Errorf("%s: %+v: shares do not add up to 1, or the requests differ from those of the design", v, f)
		}
	}
	// At half of the capacity most requests meet the target, and variants with prefix affinity find more tokens in the cache.
	for _, v := range []string{"design", "hash", "oracle"} {
		if f := got[v]; f.WithinTarget < 0.8 || f.CachedShare <= got["random"].CachedShare {
			t.Errorf("%s: %+v, want at least 0.8 within the target and a larger cached share than random %+v", v, f, got["random"])
		}
	}
	if got["oracle"].WithinTarget+0.02 < got["random"].WithinTarget {
		t.Errorf("oracle is worse than random: %+v", got)
	}
}

func TestOverloadIsNotServedInTime(t *testing.T) {
	for _, v := range Variants {
		o := small(v)
		o.Load = 4
		f, err := Run(o)
		if err != nil || f.Rejected+f.Failed+f.Late < 0.2 {
			t.Errorf("%s at four times the capacity: %+v, %v", v, f, err)
		}
	}
	if _, err := Run(Options{Variant: "none"}); err == nil {
		t.Error("Run accepts an unknown variant")
	}
}
