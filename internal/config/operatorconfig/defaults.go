package operatorconfig

import (
	"cmp"
	"time"

	"notchhinge/internal/config/tomlfile"
)

// setDefaults sets the defaults that the schema documents.
func (f *File) setDefaults() {
	for i := range f.Services {
		for j := range f.Services[i].Routes {
			setDefault(&f.Services[i].Routes[j].Method, "POST")
		}
	}
	if f.Trace != nil {
		f.Trace.setDefaults()
	}
}

func (t *Trace) setDefaults() {
	setDefaultPointer(&t.SampleRatio, 0.01)
	setDefaultPointer(&t.MaxSamplesPerS, 10)
	setDefaultPointer(&t.LatencyMargin, tomlfile.Duration(20*time.Millisecond))
	setDefault(&t.PendingMB, 1)
	setDefault(&t.PropagateSampled, "share")
	if o := t.OTLP; o != nil {
		setDefault(&o.QueueMB, 2)
		setDefaultPointer(&o.CallTimeout, tomlfile.Duration(5*time.Second))
		setDefaultPointer(&o.DrainTimeout, tomlfile.Duration(2*time.Second))
	}
	if s := t.File; s != nil {
		setDefault(&s.MaxMB, 64)
		setDefault(&s.MaxFiles, 4)
		setDefault(&s.QueueMB, 2)
		setDefaultPointer(&s.FlushInterval, tomlfile.Duration(time.Second))
	}
}

// setDefault sets a field that is zero. It is for keys whose schema excludes the zero value.
func setDefault[T comparable](field *T, value T) { *field = cmp.Or(*field, value) }

// setDefaultPointer sets a field that is nil. It is for keys whose zero value is valid.
func setDefaultPointer[T any](field **T, value T) {
	if *field == nil {
		*field = &value
	}
}

// valueOr returns *p, or fallback if p is nil.
func valueOr[T any](p *T, fallback T) T {
	if p == nil {
		return fallback
	}
	return *p
}
