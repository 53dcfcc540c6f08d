package api

import (
	"errors"
	"fmt"
	"net/http"
)

// Status says how a call ended. Its values are HTTP status codes, and no other place in the control plane chooses one. The
// zero Status is none: a call without an outcome yet.
type Status int

// The outcomes of calls.
const (
	StatusOK            Status = http.StatusOK
	StatusInvalid       Status = http.StatusBadRequest            // the call or its configuration is malformed or not allowed
	StatusNotFound      Status = http.StatusNotFound              // what is asked for does not exist
	StatusConflict      Status = http.StatusConflict              // the group of replicas would be too small
	StatusStaleRevision Status = http.StatusPreconditionFailed    // another revision than the one named is the newest
	StatusTooLarge      Status = http.StatusRequestEntityTooLarge // the body is above its bound
	StatusInternal      Status = http.StatusInternalServerError   // a fault of this program
	StatusUnavailable   Status = http.StatusServiceUnavailable    // not done in time, or this process cannot tell: another may
)

// IsFinal reports whether the same call always ends like this. After any other outcome it is unknown whether the call was
// executed, and it may be sent again.
func (s Status) IsFinal() bool { return s != 0 && s < http.StatusInternalServerError }

// Error is a failed call.
type Error struct {
	Status  Status
	Message string // for the caller: begins with the field or header that is wrong, if one is
}

func (e *Error) Error() string { return e.Message }

// errorf makes an Error.
func errorf(s Status, format string, args ...any) *Error {
	return &Error{s, fmt.Sprintf(format, args...)}
}

// asError makes an Error of any error; one of unknown kind counts as StatusUnavailable, so that the caller tries elsewhere.
func asError(err error) *Error {
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return &Error{StatusUnavailable, err.Error()}
}
