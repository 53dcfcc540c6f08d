// Package metrics counts what a process sends and receives on the network, by cause, and how much of that crosses zones, which
// is paid for; and what the process uses of its machine.
//
// A call is counted by who makes it, with its answer, and a datagram by who sends it: the traffic of all processes adds up to
// that of the fleet. Counters only grow, carry no names of tenants or peers, and are safe for concurrent use.
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
	CauseEngines   Cause = iota // requests and answers of clients, on connections to engines
	CauseGossip                 // endpoints, configurations and heartbeats over gossip
	CauseDigests                // anti-entropy: digests that are compared
	CauseShuffles               // exchanges of partial views
	CausePaxos                  // proposals, their answers, and the dissemination of what was chosen
	CauseSnapshots              // replicas that catch up, find each other and admit members
	CauseConfigs                // configurations that routers fetch, and forwarded calls of operators
	CauseUsage                  // usage reports and tables
	CauseLeases                 // requests for leases
	CausePlatform               // calls to the platform
	causes
)

// causeNames stand in the output and do not change.
var causeNames = [causes]string{
	CauseEngines: "engines", CauseGossip: "news", CauseDigests: "digests", CauseShuffles: "shuffles", CausePaxos: "ballots",
	CauseSnapshots: "states", CauseConfigs: "configurations", CauseUsage: "reports", CauseLeases: "leases", CausePlatform: "platform",
}

// String returns the name of the cause in the output.
func (c Cause) String() string {
	if c < causes {
		return causeNames[c]
	}
	return fmt.Sprintf("cause %d", uint8(c))
}

// Row is what was counted for one cause.
type Row struct {
	Cause       string `json:"cause"`
	Count       uint64 `json:"count"`   // calls, datagrams, or writes to engines
	Bytes       uint64 `json:"bytes"`   // sent and received
	CrossZone   uint64 `json:"between"` // of these, from one zone to another
	Connections uint64 `json:"connections"`
}

type counters struct{ count, bytes, crossZone, connections atomic.Uint64 }

func (r *counters) addBytes(n int, crossZone bool) {
	r.bytes.Add(uint64(n))
	if crossZone {
		r.crossZone.Add(uint64(n))
	}
}

// Traffic holds the counters of a process. The zero value has counted nothing.
type Traffic struct{ byCause [causes]counters }

// Add counts an exchange of so many bytes; crossZone says that the two sides are in different zones.
func (t *Traffic) Add(c Cause, bytes int, crossZone bool) {
	r := &t.byCause[c]
	r.count.Add(1)
	r.addBytes(bytes, crossZone)
}

// AddConnection counts a connection that was opened.
func (t *Traffic) AddConnection(c Cause) { t.byCause[c].connections.Add(1) }

// Rows lists what was counted, in the order of the causes; those without anything are left out.
func (t *Traffic) Rows() []Row {
	var rows []Row
	for c := range t.byCause {
		r := &t.byCause[c]
		row := Row{causeNames[c], r.count.Load(), r.bytes.Load(), r.crossZone.Load(), r.connections.Load()}
		if row.Count+row.Bytes+row.Connections > 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

// countedConn counts what is read and written.
type countedConn struct {
	*net.TCPConn
	counters  *counters
	crossZone bool
}

// Wrap counts a connection that was opened, and returns one that counts its bytes. Each write counts as one exchange. A
// connection that is not TCP is returned as it is.
func (t *Traffic) Wrap(c Cause, nc net.Conn, crossZone bool) net.Conn {
	t.AddConnection(c)
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc
	}
	return &countedConn{tcp, &t.byCause[c], crossZone}
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.counters.addBytes(n, c.crossZone)
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.counters.count.Add(1)
	n, err := c.TCPConn.Write(p)
	c.counters.addBytes(n, c.crossZone)
	return n, err
}

// Process is what this process has used of its machine since its start.
type Process struct {
	CPUSeconds float64 `json:"processor_s"`
	MemoryMB   float64 `json:"memory_most_mb"` // the most that was resident
	WakeUps    int64   `json:"wake_ups"`       // voluntary context switches of its threads
}

// ReadProcess asks the operating system. Where that fails it returns zeros.
func ReadProcess() Process {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return Process{}
	}
	return Process{
		CPUSeconds: (time.Duration(u.Utime.Nano()) + time.Duration(u.Stime.Nano())).Seconds(),
		MemoryMB:   float64(u.Maxrss) / 1024,
		WakeUps:    u.Nvcsw,
	}
}
