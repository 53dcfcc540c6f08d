package route

import (
	"errors"
	"fmt"
)

// Errors of a request's host and path. The client is at fault: 400.
var (
	ErrMalformedHost = errors.New("the host is malformed")
	ErrMalformedPath = errors.New("the path is malformed")
	// ErrAmbiguousPath is the error of a path with empty segments, . or .. segments, or an encoded slash, backslash or
	// control character. Servers interpret such a path differently: it could be routed as one resource and served as
	// another.
	ErrAmbiguousPath = errors.New("the path can be read in two ways")
)

// noIndex is the index in an error or a target that concerns no service or no route.
const noIndex = -1

// TableError is an error in the services or routes of which a table is made.
type TableError struct {
	ServiceIndex int    // index in the list of services; -1 = none
	RouteIndex   int    // index in the list of routes; -1 = none
	Field        string // of the route or the service, as in the settings file; "" = the whole entry
	Message      string
}

func (e TableError) Error() string {
	switch {
	case e.RouteIndex >= 0:
		return fmt.Sprintf("route %d: %s: %s", e.RouteIndex, e.Field, e.Message)
	case e.ServiceIndex >= 0:
		return fmt.Sprintf("service %d: %s: %s", e.ServiceIndex, e.Field, e.Message)
	}
	return e.Message
}

func serviceError(index int, field, format string, args ...any) TableError {
	return TableError{ServiceIndex: index, RouteIndex: noIndex, Field: field, Message: fmt.Sprintf(format, args...)}
}

func routeError(index int, field, format string, args ...any) TableError {
	return TableError{ServiceIndex: noIndex, RouteIndex: index, Field: field, Message: fmt.Sprintf(format, args...)}
}
