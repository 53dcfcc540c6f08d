package batch

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// apiError is an error that is reported to the client of the API.
type apiError struct {
	status        int
	code, message string
	param         string
	retryAfter    time.Duration
	allowMethod   string
}

func (e *apiError) Error() string { return e.message }

// invalidValue returns an error with status 400 for a parameter of a call.
func invalidValue(param, format string, args ...any) error {
	return &apiError{status: http.StatusBadRequest, code: "invalid_value", param: param, message: fmt.Sprintf(format, args...)}
}

// writeError sends an error. One that is not an *apiError is logged and sent as an internal error.
func (s *Service) writeError(w http.ResponseWriter, err error) {
	var e *apiError
	if !errors.As(err, &e) {
		s.log.Error("batch API call failed", "err", err)
		e = &apiError{status: http.StatusInternalServerError, code: "internal", message: "internal error"}
	}
	if e.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	if e.allowMethod != "" {
		w.Header().Set("Allow", e.allowMethod)
	}
	if e.status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	kind := "invalid_request_error"
	if e.status >= 500 {
		kind = "server_error"
	}
	writeJSONResponse(w, e.status, map[string]any{"error": map[string]any{
		"message": e.message, "type": kind, "param": nullable(e.param), "code": e.code,
	}})
}

// nullable returns nil for an empty string, which is null in JSON.
func nullable(s string) any {
	if s == "" {
		return nil
	}
	return s
}
