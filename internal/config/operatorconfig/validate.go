package operatorconfig

import (
	"net"
	"net/url"
	"slices"
	"strconv"
	"time"

	"notchhinge/internal/config/tomlfile"
)

// maxLatencyMargin bounds Trace.LatencyMargin. With a larger margin every request would count as late.
const maxLatencyMargin = tomlfile.Duration(time.Minute)

// validator collects the errors that a schema cannot express.
type validator struct {
	f    *File
	errs tomlfile.Errors
}

func (f *File) validate(classes []string) tomlfile.Errors {
	v := &validator{f: f}
	if f.Trace != nil {
		v.trace(f.Trace)
	}
	if f.Batch != nil {
		v.batch(f.Batch)
	}
	v.pools()
	v.services()
	v.contracts(classes)
	return v.errs
}

func (v *validator) addf(key []string, format string, args ...any) {
	v.errs = append(v.errs, v.f.Errorf(key, format, args...))
}

// positive rejects a duration that is present and not greater than 0.
func (v *validator) positive(d *tomlfile.Duration, key ...string) {
	if d != nil && *d <= 0 {
		v.addf(key, "must be greater than 0")
	}
}

// entryKey returns the path of a key in an array of tables.
func entryKey(array string, index int, keys ...string) []string {
	return append([]string{array, strconv.Itoa(index)}, keys...)
}

func (v *validator) trace(t *Trace) {
	if *t.LatencyMargin < 0 || *t.LatencyMargin > maxLatencyMargin {
		v.addf([]string{"trace", "margin"}, "must be from 0 to %v", time.Duration(maxLatencyMargin))
	}
	if o := t.OTLP; o != nil {
		if u, err := url.Parse(o.Endpoint); err != nil || u.Host == "" {
			v.addf([]string{"trace", "otlp", "endpoint"}, "must be a URL with a host")
		}
		v.positive(o.CallTimeout, "trace", "otlp", "timeout")
		v.positive(o.DrainTimeout, "trace", "otlp", "drain")
	}
	if s := t.File; s != nil {
		v.positive(s.FlushInterval, "trace", "file", "flush")
	}
}

func (v *validator) batch(b *Batch) {
	host, _, err := net.SplitHostPort(b.Listen)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		v.addf([]string{"batch", "listen"}, "%q is not a loopback address with a port", b.Listen)
	}
	if len(v.f.Contracts) == 0 {
		v.addf([]string{"batch"}, "needs at least one [[contract]]")
	}
}

// contracts checks the contracts. It checks their classes only if there are no pools; the classes of pools are checked by package
// reconcile.
func (v *validator) contracts(classes []string) {
	teams := map[string]bool{}
	for i := range v.f.Contracts {
		c := &v.f.Contracts[i]
		if c.Service != "" && !slices.ContainsFunc(v.f.Services, func(s Service) bool { return s.Name == c.Service }) {
			v.addf(entryKey("contract", i, "service"), "there is no service %q", c.Service)
		}
		if teams[c.Team] {
			v.addf(entryKey("contract", i, "team"), "team %q has another contract", c.Team)
		}
		teams[c.Team] = true
		for _, class := range c.Classes {
			if classes != nil && len(v.f.Pools) == 0 && !slices.Contains(classes, class) {
				v.addf(entryKey("contract", i, "classes"), "unknown class %q; there are %q", class, classes)
			}
		}
		v.positive(&c.BudgetPeriod, entryKey("contract", i, "budget_period")...)
		v.positive(&c.ItemDeadline, entryKey("contract", i, "line_deadline")...)
	}
}
