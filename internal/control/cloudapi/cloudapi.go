// Package cloudapi is the client of the platform's cloud API: HTTP/1.1 with CBOR bodies.
//
// It owns the form of the calls and their connections. Whether a call may be made at all is for its user to know; each carries
// the holder's name and the fencing token that it is given. An error does not say whether the platform has taken the call; the
// same call may be made again.
//
// Once the context of a call is over, nothing more of it is sent: bytes that the kernel still buffers for a link that is down
// are discarded with the connection, so that they cannot arrive while another holder acts.
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

// Errors of calls that the platform has answered.
var (
	// ErrBusy means that the same call may succeed later.
	ErrBusy = errors.New("platform is busy")
	// ErrRejected means that the same call will be rejected again.
	ErrRejected = errors.New("platform rejects the call")
)

// Bounds of a call.
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

// New returns a client of the platform at an address (host:port). holder names this process to it.
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

type usageReport struct {
	Window uint64            `cbor:"window_number"`
	Counts map[string]uint64 `cbor:"counts"`
}

// Target is a number of engines.
type Target struct {
	Service string `cbor:"target_service"`
	Zone    string `cbor:"zone"`
	Engines int    `cbor:"desired_count"`
}

func (c *Client) post(ctx context.Context, path string, fencingToken uint64, v any) error {
	req, err := c.request(ctx, path, fencingToken, v)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	var conn *net.TCPConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if conn, _ = i.Conn.(*net.TCPConn); conn != nil {
			conn.SetLinger(0) // closing it discards what was not sent
		}
	}})
	resp, err := c.client.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil && conn != nil {
		conn.SetLinger(-1) // the call was answered: the connection may be kept, and closed in the usual way
	}
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return nil
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode >= http.StatusInternalServerError:
		return fmt.Errorf("%w: %s", ErrBusy, resp.Status)
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
	req.GetBody = nil // net/http must not send it again by itself: the lease may have ended meanwhile
	req.Header.Set("Content-Type", "application/cbor")
	req.Header.Set("X-Duty-Holder", c.holder)
	req.Header.Set("X-Fence-Token", strconv.FormatUint(fencingToken, 10))
	return req, nil
}
