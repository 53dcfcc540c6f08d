// Package registry speaks with discovery: it keeps one watch on the list of issuer hosts.
package registry

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

// List is an answer of discovery.
type List struct {
	Seq   uint64  `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []Entry `json:"hosts"`
}

// Entry is one issuer host in it.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Class  string  `json:"class"` // of the box, where a discovery sorts them; "" = none
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS float64 `json:"born_ms"`
}

// Entries turns a list's entries into the broker's. Zones go by their place in the settings; one that they do
// not name is far from every other.
func (l List) Entries(zones []string) ([]dispatch.Host, error) {
	hosts := make([]dispatch.Host, 0, len(l.Hosts))
	for _, e := range l.Hosts {
		h := dispatch.Host{Name: e.Host, Addr: e.Dial, Zone: -1, Cell: e.Block, Weight: e.Share}
		switch e.Health {
		case "Ready":
			h.State = policy.StateReady
		case "Terminating":
			h.State = policy.StateDraining
		case "Gone":
			h.State = policy.StateGone
		default:
			return nil, fmt.Errorf("host %q: health %q is unknown", e.Host, e.Health)
		}
		if e.Host == "" || !(e.BornMS >= 0 && e.BornMS < 1e15/2) {
			return nil, fmt.Errorf("host %q: name or born_ms %v is bad", e.Host, e.BornMS)
		}
		h.BornAt = time.Duration(e.BornMS * float64(time.Millisecond))
		for i, z := range zones {
			if z == e.Site {
				h.Zone = i
			}
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// Client keeps the watch. Its calls follow one another on one connection.
type Client struct {
	Addr    string
	Lim     limits.Limits
	Deliver func(policy.ListKind, List) error // news of the list, or a failed call; the error is of an entry
	Post    func(dispatch.Event)              // notes
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)

	seq   uint64
	known bool
	conn  net.Conn
	br    *bufio.Reader
}

// New returns a client of the discovery at addr.
func New(c Client) *Client { return &c }

// Known sets the list that the router starts with.
func (c *Client) Known(l List) { c.seq, c.known = l.Seq, len(l.Hosts) > 0 }

// Run watches each time it is asked to, until a call fails, which it reports. Asking while a watch is on is
// no further call.
func (c *Client) Run(ctx context.Context, asked <-chan struct{}) {
	defer c.hangUp()
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
		}
		err := c.watch(ctx)
		c.hangUp()
		if ctx.Err() != nil {
			return // its being told to stop is no failure
		}
		select {
		case <-asked: // while the watch was on
		default:
		}
		_ = c.Deliver(policy.ListFailed, List{}) // it has no entry that could be in error
		c.Post(dispatch.LogLine("discovery: " + err.Error()))
	}
}

// watch calls again and again, each call right after the answer to the last, so that the watch goes on.
func (c *Client) watch(ctx context.Context) error {
	for {
		began := time.Now()
		l, err := c.call(ctx)
		if err != nil {
			return err
		}
		c.seq, c.known = l.Seq, true
		kind := policy.ListDelta
		if l.Whole {
			kind = policy.ListFull
		}
		if err := c.Deliver(kind, l); err != nil {
			return err
		}
		if len(l.Hosts) == 0 && time.Since(began) < c.Lim.WatchRetryDelay {
			// Answers that do not wait must not make calls without end; the watch still goes on.
			select {
			case <-ctx.Done():
			case <-time.After(c.Lim.WatchRetryDelay):
			}
		}
	}
}

func (c *Client) call(ctx context.Context) (l List, err error) {
	if c.conn == nil {
		dctx, cancel := context.WithTimeout(ctx, c.Lim.WatchResponseGrace)
		defer cancel()
		conn, err := c.Dial(dctx, "tcp", c.Addr)
		if err != nil {
			return l, err
		}
		c.conn, c.br = conn, bufio.NewReaderSize(conn, c.Lim.ControlReadBytes)
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	path, wait := "/registry/instances", c.Lim.WatchResponseGrace
	if c.known {
		path += "?after=" + strconv.FormatUint(c.seq, 10) + "&wait_ms=" + strconv.FormatInt(c.Lim.WatchTimeout.Milliseconds(), 10)
		wait += c.Lim.WatchTimeout
	}
	if err := c.conn.SetDeadline(time.Now().Add(wait)); err != nil {
		return l, err
	}
	if _, err := io.WriteString(c.conn, "GET "+path+" HTTP/1.1\r\nHost: "+c.Addr+"\r\n\r\n"); err != nil {
		return l, err
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.Lim.EndpointListBytes+1))
	switch {
	case err != nil:
		return l, err
	case resp.StatusCode != http.StatusOK:
		return l, fmt.Errorf("answered %s", resp.Status)
	case int64(len(body)) > c.Lim.EndpointListBytes:
		return l, errors.New("the list is too long")
	}
	if err := json.Unmarshal(body, &l); err != nil {
		return l, err
	}
	if resp.Close {
		c.hangUp()
	}
	return l, nil
}

func (c *Client) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn, c.br = nil, nil
	}
}
