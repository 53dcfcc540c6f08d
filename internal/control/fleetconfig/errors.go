package fleetconfig

import (
	"strconv"
	"strings"
)

// FieldError is one thing that is wrong with a configuration.
type FieldError struct {
	Path    []string // to the field: names, and indices of list entries
	Owner   string   // name of the route, service or tenant that the field belongs to; "" = none
	Message string
}

// String is the path as in routes[3].timeout_ms, the owner and the message.
func (e FieldError) String() string {
	var b strings.Builder
	for _, p := range e.Path {
		switch _, err := strconv.Atoi(p); {
		case err == nil:
			b.WriteString("[" + p + "]")
		case b.Len() > 0:
			b.WriteString("." + p)
		default:
			b.WriteString(p)
		}
	}
	if e.Owner != "" {
		b.WriteString(" (" + e.Owner + ")")
	}
	return b.String() + ": " + e.Message
}

// FieldErrors are all that is wrong with a configuration, in its order. They match ErrInvalid.
type FieldErrors []FieldError

func (f FieldErrors) Error() string {
	all := make([]string, 0, len(f))
	for _, e := range f {
		all = append(all, e.String())
	}
	return ErrInvalid.Error() + ": " + strings.Join(all, "; ")
}

// Is makes errors.Is find ErrInvalid.
func (f FieldErrors) Is(target error) bool { return target == ErrInvalid }
