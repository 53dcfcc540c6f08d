package route

import (
	"errors"
	"fmt"
)

// Errors in the host or path of a request, for a response with status 400.
var (
	// ErrMalformedHost is returned for a host that is neither a host name nor an address, with an optional port.
	ErrMalformedHost = errors.New("the host is malformed")
	// ErrMalformedPath is returned for a path that RFC 3986 does not allow.
	ErrMalformedPath = errors.New("the path is malformed")
	// ErrAmbiguousPath is returned for a path with empty segments, . or .. segments, a backslash, or an encoded slash,
	// backslash or control character. Servers interpret such a path differently, so that it could be routed as one
	// resource and served as another.
	ErrAmbiguousPath = errors.New("the path can be read in two ways")
)

// noIndex stands for the absence of a service or a route.
const noIndex = -1

// TableError is an error in the services or routes passed to New.
type TableError struct {
	ServiceIndex int    // index in the list of services; -1 = none
	RouteIndex   int    // index in the list of routes; -1 = none
	Field        string // field of the route or service, as in the settings file; "" = the whole entry
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
