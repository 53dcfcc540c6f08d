// Package cloudapi makes the calls that the fleet owes the platform: HTTP/1.1 with CBOR bodies at the cloud's address. It owns
// their form and their pace. Whether one may be made at all is its user's to know: each carries the holder and the fence that
// it is given. An error says nothing of whether the platform has taken the call; the same call may be made again. Once its
// context is over, what has not left of a call never does: what this machine's kernel still holds for a link that is cut is
// thrown away with the connection, lest it arrive when another acts.
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

// Client calls the platform.
type Client struct {
	Addr   string
	Holder string
	client http.Client
}

// New returns a client.
func New(addr, holder string) *Client {
	return &Client{Addr: addr, Holder: holder, client: http.Client{Transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: time.Second, KeepAlive: -1}).DialContext,
		MaxIdleConns:    1,
		IdleConnTimeout: 3 * time.Second,
	}}}
}

// ErrBusy is an answer after which the same call may be made again, later.
var ErrBusy = errors.New("the platform is busy")

// ErrRejected is an answer that the same call will get again.
var ErrRejected = errors.New("the platform rejects the call")

// ReportUsage reports a window.
func (c *Client) ReportUsage(ctx context.Context, fence, window uint64, counts map[string]uint64) error {
	return c.post(ctx, "/usage-reports", fence, map[string]any{"window_number": window, "counts": counts})
}

// ScaleEngines orders engines.
func (c *Client) ScaleEngines(ctx context.Context, fence uint64, service, zone string, count int) error {
	return c.post(ctx, "/scaling", fence, map[string]any{"target_service": service, "zone": zone, "desired_count": count})
}

func (c *Client) post(ctx context.Context, path string, fence uint64, v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Addr+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	req.GetBody = nil // nothing is sent twice behind its user's back: a lease may have ended meanwhile
	req.Header.Set("Content-Type", "application/cbor")
	req.Header.Set("X-Duty-Holder", c.Holder)
	req.Header.Set("X-Fence-Token", strconv.FormatUint(fence, 10))
	var line *net.TCPConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if line, _ = i.Conn.(*net.TCPConn); line != nil {
			line.SetLinger(0)
		}
	}})
	resp, err := c.client.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	says, err := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	if err == nil && line != nil {
		line.SetLinger(-1) // it has been answered, and may rest and end as others do
	}
	switch {
	case resp.StatusCode < 300:
		return nil
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode >= 500:
		return fmt.Errorf("%w: %s", ErrBusy, resp.Status)
	}
	return fmt.Errorf("%w: %s: %.100q", ErrRejected, resp.Status, says)
}
