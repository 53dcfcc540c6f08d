// Package metrics counts the network traffic of a process by cause. It counts the part that crosses zones separately, because
// that part costs money. It also reads the CPU and memory usage of the process.
//
// The caller counts a call together with its response, and the sender counts a datagram, so that the traffic of all processes
// adds up to that of the fleet. Counters only increase, contain no names of tenants or peers, and are safe for concurrent use.
package metrics

import (
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Cause is the purpose of network traffic.
type Cause uint8

// Values of Cause.
const (
	CauseEngines   Cause = iota // client requests and responses, on connections to engines
	CauseGossip                 // endpoints, configurations and heartbeats over gossip
	CauseDigests                // digests of anti-entropy
	CauseShuffles               // exchanges of partial views
	CausePaxos                  // Paxos messages and the dissemination of chosen values
	CauseSnapshots              // catch-up, discovery and admission of replicas
	CauseConfigs                // configurations that routers fetch, and forwarded calls of operators
	CauseUsage                  // usage reports and tables
	CauseLeases                 // lease requests
	CausePlatform               // calls to the platform
	causeCount
)

// causeNames are the names in the output, which operators' tools read.
var causeNames = [causeCount]string{
	CauseEngines: "engines", CauseGossip: "news", CauseDigests: "digests", CauseShuffles: "shuffles", CausePaxos: "ballots",
	CauseSnapshots: "states", CauseConfigs: "configurations", CauseUsage: "reports", CauseLeases: "leases", CausePlatform: "platform",
}

// String returns the name of the cause in the output.
func (c Cause) String() string {
	if c < causeCount {
		return causeNames[c]
	}
	return fmt.Sprintf("cause %d", uint8(c))
}

// Row contains the counters of one cause.
type Row struct {
	Cause       string `json:"cause"`
	Count       uint64 `json:"count"`   // calls, datagrams, or writes to engines
	Bytes       uint64 `json:"bytes"`   // sent and received
	CrossZone   uint64 `json:"between"` // part of Bytes that crossed zones
	Connections uint64 `json:"connections"`
}

// counters are the counters of one cause; see Row.
type counters struct{ count, bytes, crossZone, connections atomic.Uint64 }

func (c *counters) addBytes(n int, crossZone bool) {
	c.bytes.Add(uint64(n))
	if crossZone {
		c.crossZone.Add(uint64(n))
	}
}

// Traffic contains the traffic counters of a process. The zero value is ready for use.
type Traffic struct{ byCause [causeCount]counters }

// Add counts one exchange with its bytes. crossZone is true if the two sides are in different zones.
func (t *Traffic) Add(c Cause, bytes int, crossZone bool) {
	r := &t.byCause[c]
	r.count.Add(1)
	r.addBytes(bytes, crossZone)
}

// AddConnection counts an opened connection.
func (t *Traffic) AddConnection(c Cause) { t.byCause[c].connections.Add(1) }

// Rows lists the counters by cause, without the causes that have no traffic.
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

// countedConn counts the bytes that are read and written.
type countedConn struct {
	*net.TCPConn
	counters  *counters
	crossZone bool
}

// Wrap counts an opened connection and wraps it so that its traffic is counted. Each write counts as one exchange. A connection
// that is not TCP is returned unchanged, and its traffic is not counted.
func (t *Traffic) Wrap(c Cause, conn net.Conn, crossZone bool) net.Conn {
	t.AddConnection(c)
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
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

// Process contains the resource usage of this process since its start.
type Process struct {
	CPUSeconds float64 `json:"processor_s"`
	MemoryMB   float64 `json:"memory_most_mb"` // highest resident set size
	WakeUps    int64   `json:"wake_ups"`       // voluntary context switches
}

// ReadProcess reads the resource usage from the operating system. It returns zeros if that fails.
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
