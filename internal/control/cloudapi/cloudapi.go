// Package cloudapi is the client of the platform's cloud API: HTTP/1.1 with CBOR bodies.
//
// The caller must hold the lease for the calls that it makes. Each call carries the holder's name and the caller's fencing
// token. After an error it is unknown whether the platform has executed the call; the calls are idempotent and may be retried.
//
// Once the context of a call is done, nothing more of it is sent: bytes that the kernel still buffers, for example for a link
// that is down, are discarded with the connection, so that they cannot arrive after another process has taken the lease.
package cloudapi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Errors of calls by the platform's answer.
var (
	// ErrUnavailable means that the platform throttled the call or failed (429 or 5xx). A retry may succeed.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrRejected means that the platform rejected the call, as it will reject a retry.
	ErrRejected = errors.New("platform rejects the call")
)

// Limits of a call and its connection.
const (
	dialTimeout      = time.Second
	idleTimeout      = 3 * time.Second
	maxResponseBytes = 4 << 10
)

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	addr   string
	holder string
	client http.Client
}

// New returns a client of the platform at an address (host:port). holder is the name of this process as a lease holder.
func New(addr, holder string) *Client {
	return &Client{addr: addr, holder: holder, client: http.Client{Transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConns:    1,
		IdleConnTimeout: idleTimeout,
	}}}
}

// ReportUsage reports the requests of a usage window, by tenant.
func (c *Client) ReportUsage(ctx context.Context, fencingToken, window uint64, counts map[string]uint64) error {
	return c.post(ctx, "/usage-reports", fencingToken, usageReport{Window: window, Counts: counts})
}

// ScaleEngines sets the number of engines that a service should have in a zone.
func (c *Client) ScaleEngines(ctx context.Context, fencingToken uint64, t Target) error {
	return c.post(ctx, "/scaling", fencingToken, t)
}

// usageReport is the body of a /usage-reports call.
type usageReport struct {
	Window uint64            `cbor:"window_number"`
	Counts map[string]uint64 `cbor:"counts"`
}

// Target is the desired number of engines of a service in a zone.
type Target struct {
	Service string `cbor:"target_service"`
	Zone    string `cbor:"zone"`
	Engines int    `cbor:"desired_count"`
}

// post sends a call with a CBOR body and maps the status of the response to an error.
func (c *Client) post(ctx context.Context, path string, fencingToken uint64, v any) error {
	req, err := c.request(ctx, path, fencingToken, v)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	var conn *net.TCPConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if conn, _ = i.Conn.(*net.TCPConn); conn != nil {
			conn.SetLinger(0) // closing the connection discards unsent bytes
		}
	}})
	resp, err := c.client.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil && conn != nil {
		conn.SetLinger(-1) // the response is complete: the connection may be reused, and closed normally
	}
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return nil
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode >= http.StatusInternalServerError:
		return fmt.Errorf("%w: %s", ErrUnavailable, resp.Status)
	}
	return fmt.Errorf("%w: %s: %.100q", ErrRejected, resp.Status, body)
}

// request returns the HTTP request of a call.
func (c *Client) request(ctx context.Context, path string, fencingToken uint64, v any) (*http.Request, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // keeps net/http from retrying by itself, possibly after the lease has ended
	req.Header.Set("Content-Type", "application/cbor")
	req.Header.Set("X-Duty-Holder", c.holder)
	req.Header.Set("X-Fence-Token", strconv.FormatUint(fencingToken, 10))
	return req, nil
}
