package api

import (
	"errors"
	"fmt"
	"net/http"
)

// Status is the outcome of a call. Its values are HTTP status codes; the rest of the control plane uses no others. The zero
// Status means that there is no outcome yet.
type Status int

// Outcomes of calls.
const (
	StatusOK            Status = http.StatusOK
	StatusInvalid       Status = http.StatusBadRequest            // the call or its configuration is malformed or not allowed
	StatusNotFound      Status = http.StatusNotFound              // the requested object does not exist
	StatusConflict      Status = http.StatusConflict              // too few replicas would remain
	StatusStaleRevision Status = http.StatusPreconditionFailed    // the base revision is not the newest
	StatusTooLarge      Status = http.StatusRequestEntityTooLarge // the body exceeds its limit
	StatusInternal      Status = http.StatusInternalServerError   // a fault of this program
	StatusUnavailable   Status = http.StatusServiceUnavailable    // no outcome in time, or not known to this process; another process may succeed
)

// IsFinal reports whether the outcome of the call is definite. After any other outcome it is unknown whether the call was
// executed, and the caller may retry it.
func (s Status) IsFinal() bool { return s != 0 && s < http.StatusInternalServerError }

// Error is the error of a failed call.
type Error struct {
	Status  Status
	Message string // for the caller; begins with the invalid field or header, if there is one
}

func (e *Error) Error() string { return e.Message }

// errorf returns an *Error with a formatted message.
func errorf(s Status, format string, args ...any) *Error {
	return &Error{s, fmt.Sprintf(format, args...)}
}

// asError returns err as an *Error. Other error types become StatusUnavailable, so that the caller tries another process.
func asError(err error) *Error {
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return &Error{StatusUnavailable, err.Error()}
}
