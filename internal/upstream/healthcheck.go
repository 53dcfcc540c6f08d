package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/policy"
)

// startHealthCheck starts a health check in a new goroutine, which posts its result as a ProbeDone.
func (t *Transport) startHealthCheck(e dispatch.SendProbe) {
	go func() {
		done := dispatch.ProbeDone{Pool: e.Pool, Host: e.Host, Sent: e.Sent}
		t.mu.Lock()
		r := t.loadReportingOf(e.Pool)
		t.mu.Unlock()
		done.Result, done.Report = t.healthCheck(endpoint{e.Host, e.Addr, e.Pool}, r)
		t.cfg.Post(done)
	}()
}

// healthCheck sends a health check to an endpoint and returns the result and the load report in the response, if any.
func (t *Transport) healthCheck(ep endpoint, r *LoadReporting) (policy.Result, policy.Report) {
	ctx, cancel := context.WithTimeout(context.Background(), t.cfg.Limits.HealthCheckTimeout)
	defer cancel()
	cn, err := t.conns.get(ctx, ep, connOptions{timeout: t.cfg.Limits.ConnectTimeout})
	if err != nil {
		return policy.ResultConnectFailed, policy.Report{}
	}
	path := t.cfg.Dialect.HealthCheckPath(r)
	deadline := time.Now().Add(t.cfg.Limits.HealthCheckTimeout)
	cn.SetDeadline(deadline)
	if _, err := io.WriteString(cn, "GET "+path+" HTTP/1.1\r\nHost: "+ep.addr+"\r\n\r\n"); err != nil {
		_ = cn.Close() // the write error is the result
		return policy.ResultConnectFailed, policy.Report{}
	}
	resp, body, err := t.readHealth(cn, deadline) //nolint:bodyclose // readHealth has read the body and closed or kept the connection
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return policy.ResultTimedOut, policy.Report{}
	case err != nil:
		return policy.ResultReset, policy.Report{}
	case resp.StatusCode != http.StatusOK:
		return policy.ResultError, policy.Report{}
	}
	report := resp.Header.Get(loadHeader)
	if report == "" {
		report = string(body)
	}
	return policy.ResultOK, ParseLoadReport(report, r.Columns)
}

// readHealth reads the response to a health check and truncates its body to Limits.ControlReadBytes. It returns the connection to
// the connPool if the connection is reusable, and closes it otherwise.
func (t *Transport) readHealth(cn *conn, deadline time.Time) (*http.Response, []byte, error) {
	maxBody := t.cfg.Limits.ControlReadBytes
	resp, _, err := t.readResponse(cn, nil, deadline)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, int64(maxBody)))
	}
	if err != nil || resp.Close || len(body) >= maxBody {
		_ = cn.Close() // not reusable
	} else {
		t.conns.put(cn)
	}
	return resp, body, err
}
