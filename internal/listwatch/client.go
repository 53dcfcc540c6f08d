package listwatch

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/limits"
	"notchhinge/policy"
)

// listPath is the path of the endpoint list.
const listPath = "/registry/instances"

// Client makes the calls of a watch, one at a time and on one connection.
type Client struct {
	Addr        string
	Limits      limits.Limits
	Deliver     func(policy.ListKind, List) error // receives each list, or ListFailed; its error ends the watch
	Post        func(dispatch.Event)              // receives log lines
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)

	sequence uint64
	hasList  bool
	conn     net.Conn
	reader   *bufio.Reader
}

// NewClient returns a copy of c that is ready to Run.
func NewClient(c Client) *Client { return &c }

// SetInitial sets the list that the first call continues from.
func (c *Client) SetInitial(l List) { c.sequence, c.hasList = l.Seq, len(l.Hosts) > 0 }

// Run starts a watch when a value is received from requested, and repeats this after the watch has ended with a failed call. It
// reports each failure, and discards requests for a watch that arrive during one. It returns when the context is done.
func (c *Client) Run(ctx context.Context, requested <-chan struct{}) {
	defer c.closeConn()
	for {
		select {
		case <-ctx.Done():
			return
		case <-requested:
		}
		err := c.watch(ctx)
		c.closeConn()
		if ctx.Err() != nil {
			return // stopped, not failed
		}
		select {
		case <-requested: // arrived during the watch
		default:
		}
		_ = c.Deliver(policy.ListFailed, List{}) // no error, since there is no entry
		c.Post(dispatch.LogLine("discovery: " + err.Error()))
	}
}

// watch makes calls without a pause until one fails.
func (c *Client) watch(ctx context.Context) error {
	for {
		start := time.Now()
		l, err := c.call(ctx)
		if err != nil {
			return err
		}
		c.sequence, c.hasList = l.Seq, true
		kind := policy.ListDelta
		if l.IsFull {
			kind = policy.ListFull
		}
		if err := c.Deliver(kind, l); err != nil {
			return err
		}
		if len(l.Hosts) == 0 && time.Since(start) < c.Limits.WatchRetryDelay {
			// Limits the rate of calls to a service that responds at once although nothing has changed.
			select {
			case <-ctx.Done():
			case <-time.After(c.Limits.WatchRetryDelay):
			}
		}
	}
}

// call requests the list: a full one at first, then the changes since the last one.
func (c *Client) call(ctx context.Context) (l List, err error) {
	if err := c.connect(ctx); err != nil {
		return l, err
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	path, timeout := listPath, c.Limits.WatchResponseGrace
	if c.hasList {
		path += "?after=" + strconv.FormatUint(c.sequence, 10) + "&wait_ms=" + strconv.FormatInt(c.Limits.WatchTimeout.Milliseconds(), 10)
		timeout += c.Limits.WatchTimeout
	}
	if err := c.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return l, err
	}
	if _, err := io.WriteString(c.conn, "GET "+path+" HTTP/1.1\r\nHost: "+c.Addr+"\r\n\r\n"); err != nil {
		return l, err
	}
	return c.readList()
}

// connect opens a connection if there is none.
func (c *Client) connect(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.Limits.WatchResponseGrace)
	defer cancel()
	conn, err := c.DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReaderSize(conn, c.Limits.ControlReadBytes)
	return nil
}

// readList reads a response of at most EndpointListBytes.
func (c *Client) readList() (l List, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.Limits.EndpointListBytes+1))
	switch {
	case err != nil:
		return l, err
	case resp.StatusCode != http.StatusOK:
		return l, fmt.Errorf("unexpected status %s", resp.Status)
	case int64(len(body)) > c.Limits.EndpointListBytes:
		return l, errors.New("the endpoint list is too long")
	}
	if err := json.Unmarshal(body, &l); err != nil {
		return l, err
	}
	if resp.Close {
		c.closeConn()
	}
	return l, nil
}

func (c *Client) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn, c.reader = nil, nil
	}
}
