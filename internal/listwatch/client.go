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

// listPath is where the service answers.
const listPath = "/registry/instances"

// Client makes the calls of a watch, one after the other on one connection.
type Client struct {
	Addr        string
	Limits      limits.Limits
	Deliver     func(policy.ListKind, List) error // an answer, or a failed call; the error is of an invalid entry
	Post        func(dispatch.Event)              // log lines
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)

	sequence uint64
	hasList  bool
	conn     net.Conn
	reader   *bufio.Reader
}

// NewClient returns a client of the service at c.Addr.
func NewClient(c Client) *Client { return &c }

// SetInitial sets the list that the router starts with.
func (c *Client) SetInitial(l List) { c.sequence, c.hasList = l.Seq, len(l.Hosts) > 0 }

// Run watches each time that it is requested, until a call fails, which it reports. A request during a watch is dropped. It
// returns when the context is done.
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
			return // to be stopped is no failure
		}
		select {
		case <-requested: // during the watch
		default:
		}
		_ = c.Deliver(policy.ListFailed, List{}) // it has no entry that could be invalid
		c.Post(dispatch.LogLine("discovery: " + err.Error()))
	}
}

// watch calls again right after each answer, until a call fails.
func (c *Client) watch(ctx context.Context) error {
	for {
		began := time.Now()
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
		if len(l.Hosts) == 0 && time.Since(began) < c.Limits.WatchRetryDelay {
			// A service that answers at once without a change must not be called without end; the watch goes on.
			select {
			case <-ctx.Done():
			case <-time.After(c.Limits.WatchRetryDelay):
			}
		}
	}
}

// call makes one call.
func (c *Client) call(ctx context.Context) (l List, err error) {
	if err := c.connect(ctx); err != nil {
		return l, err
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	path, wait := listPath, c.Limits.WatchResponseGrace
	if c.hasList {
		path += "?after=" + strconv.FormatUint(c.sequence, 10) + "&wait_ms=" + strconv.FormatInt(c.Limits.WatchTimeout.Milliseconds(), 10)
		wait += c.Limits.WatchTimeout
	}
	if err := c.conn.SetDeadline(time.Now().Add(wait)); err != nil {
		return l, err
	}
	if _, err := io.WriteString(c.conn, "GET "+path+" HTTP/1.1\r\nHost: "+c.Addr+"\r\n\r\n"); err != nil {
		return l, err
	}
	return c.readList()
}

// connect opens the connection, if there is none.
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

// readList reads an answer, whose size is bounded.
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
		return l, fmt.Errorf("answered %s", resp.Status)
	case int64(len(body)) > c.Limits.EndpointListBytes:
		return l, errors.New("the list is too long")
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
