// Package metrics counts what a process sends and takes on the network, by what it is for, and how much of that goes to
// another zone, which is paid for. It is safe for concurrent use, counts only, and keeps no names. A call is counted by who
// makes it and a datagram by who sends it, so that the accounts of all processes add up to what the fleet costs.
package metrics

import (
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Cause is what bytes are for.
type Cause uint8

// The causes.
const (
	CauseEngines   Cause = iota // clients' requests and answers, at the lines to engines
	CauseGossip                 // engines and configurations passed on, and signs of life
	CauseDigests                // compared so that gaps are mended
	CauseShuffles               // partial views
	CausePaxos                  // asked, answered, and what was chosen told on
	CauseSnapshots              // keepers that catch up, found and take members in
	CauseConfigs                // fetched by routers, and the operator's calls passed on
	CauseUsage                  // routers' counts and loads, and the books of keepers
	CauseLeases                 // the holder's time
	CausePlatform               // calls to the platform
	causes
)

var names = [causes]string{
	"engines", "news", "digests", "shuffles", "ballots", "states", "configurations", "reports", "leases", "platform",
}

func (c Cause) String() string {
	if c < causes {
		return names[c]
	}
	return fmt.Sprintf("cause %d", uint8(c))
}

// Row is what was counted for one cause.
type Row struct {
	Cause       string `json:"cause"`
	Count       uint64 `json:"count"`   // calls, datagrams, or requests written to engines
	Bytes       uint64 `json:"bytes"`   // both ways
	CrossZone   uint64 `json:"between"` // of these, from one zone to another
	Connections uint64 `json:"connections"`
}

type row struct{ count, bytes, between, conns atomic.Uint64 }

// Traffic holds the counts of a process. The zero Book is empty.
type Traffic struct{ rows [causes]row }

// Add counts an exchange of so many bytes; between says that it goes to another zone.
func (b *Traffic) Add(c Cause, bytes int, between bool) {
	r := &b.rows[c]
	r.count.Add(1)
	r.bytes.Add(uint64(bytes))
	if between {
		r.between.Add(uint64(bytes))
	}
}

// AddConnection counts a connection that was opened.
func (b *Traffic) AddConnection(c Cause) { b.rows[c].conns.Add(1) }

// Rows lists what was counted; causes without anything are left out.
func (b *Traffic) Rows() (all []Row) {
	for c := range b.rows {
		r := &b.rows[c]
		x := Row{names[c], r.count.Load(), r.bytes.Load(), r.between.Load(), r.conns.Load()}
		if x.Count+x.Bytes+x.Connections > 0 {
			all = append(all, x)
		}
	}
	return all
}

// conn counts what goes over a connection.
type conn struct {
	*net.TCPConn
	r       *row
	between bool
}

// Wrap has a connection counted; another kind than TCP is returned as it is. Each write counts as one.
func (b *Traffic) Wrap(c Cause, nc net.Conn, between bool) net.Conn {
	b.AddConnection(c)
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc
	}
	return &conn{tcp, &b.rows[c], between}
}

func (c *conn) add(n int) {
	c.r.bytes.Add(uint64(n))
	if c.between {
		c.r.between.Add(uint64(n))
	}
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.add(n)
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	c.r.count.Add(1)
	n, err := c.TCPConn.Write(p)
	c.add(n)
	return n, err
}

// Process is what the process has used of its machine.
type Process struct {
	CPUSeconds float64 `json:"processor_s"`
	MemoryMB   float64 `json:"memory_most_mb"`
	WakeUps    int64   `json:"wake_ups"` // of its threads, that waited by themselves
}

// ReadProcess asks the system. What it does not say is 0.
func ReadProcess() (m Process) {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return m
	}
	m.CPUSeconds = (time.Duration(u.Utime.Nano()) + time.Duration(u.Stime.Nano())).Seconds()
	m.MemoryMB = float64(u.Maxrss) / 1024
	m.WakeUps = u.Nvcsw
	return m
}
