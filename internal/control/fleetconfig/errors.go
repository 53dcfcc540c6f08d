package fleetconfig

import (
	"strconv"
	"strings"
)

// FieldError is one error in a configuration.
type FieldError struct {
	Path    []string // path to the field: field names, and indices of list entries
	Owner   string   // name of the route, service or tenant of the field; "" = none
	Message string
}

// String returns the path, such as routes[3].timeout_ms, the owner and the message.
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

// FieldErrors lists the errors in a configuration, in the order of its fields. It matches ErrInvalid.
type FieldErrors []FieldError

// Error returns all errors on one line.
func (f FieldErrors) Error() string {
	messages := make([]string, 0, len(f))
	for _, e := range f {
		messages = append(messages, e.String())
	}
	return ErrInvalid.Error() + ": " + strings.Join(messages, "; ")
}

// Is reports whether target is ErrInvalid, for errors.Is.
func (f FieldErrors) Is(target error) bool { return target == ErrInvalid }
