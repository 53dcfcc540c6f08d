package batch

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// apiError is an error response of the API.
type apiError struct {
	status        int
	code, message string
	param         string        // the parameter at fault; "" = none
	retryAfter    time.Duration // value of the Retry-After header; 0 = none
	allowMethod   string        // value of the Allow header; "" = none
}

// Error implements error.
func (e *apiError) Error() string { return e.message }

// invalidValue returns an error with status 400 for a parameter of a call; param is empty if the call as a whole is invalid.
func invalidValue(param, format string, args ...any) error {
	return &apiError{status: http.StatusBadRequest, code: "invalid_value", param: param, message: fmt.Sprintf(format, args...)}
}

// writeError sends an error response. An error that is not an *apiError is logged and sent as an internal error.
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
	errorType := "invalid_request_error"
	if e.status >= 500 {
		errorType = "server_error"
	}
	writeJSONResponse(w, e.status, map[string]any{"error": map[string]any{
		"message": e.message, "type": errorType, "param": nullable(e.param), "code": e.code,
	}})
}

// nullable returns nil, which is null in JSON, for an empty string.
func nullable(s string) any {
	if s == "" {
		return nil
	}
	return s
}
