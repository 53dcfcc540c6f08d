package discovery

import (
	"errors"
	"net/netip"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
)

// Event is an input of [Node.Reduce].
type Event interface{ event() }

type (
	// Gossip passes on an event to the gossip node.
	Gossip struct{ Event gossip.Event }
	// Heartbeat is a heartbeat of an endpoint. It ends with a [Reply].
	Heartbeat struct {
		Request RequestID
		Record  endpoints.Record
	}
	// Deregister says that an endpoint has ended. It ends with a [Reply].
	Deregister struct {
		Request    RequestID
		EndpointID string
	}
	// ConfigStored says that this process holds the configuration at a log index.
	ConfigStored struct{ Index uint64 }
	// IdleDropObserved says that an endpoint has dropped an idle connection without closing it.
	IdleDropObserved struct{}
)

func (Gossip) event()           {}
func (Heartbeat) event()        {}
func (Deregister) event()       {}
func (ConfigStored) event()     {}
func (IdleDropObserved) event() {}

// Effect is an output of [Node.Reduce].
type Effect interface{ effect() }

type (
	// SendPacket asks for a gossip datagram to be sent.
	SendPacket gossip.SendPacket
	// Reply answers a heartbeat or a deregistration. HomeReplica is the replica that should receive the endpoint's further
	// heartbeats; invalid = any process may.
	Reply struct {
		Request     RequestID
		Err         error
		HomeReplica netip.AddrPort
	}
	// EndpointsChanged says that the set of live endpoints may have changed.
	EndpointsChanged struct{}
	// IdleDropReported says that an endpoint of some process has dropped an idle connection; others may do so too.
	IdleDropReported struct{}
	// ConfigAnnounced says that From holds the configuration at a log index.
	ConfigAnnounced struct {
		Index uint64
		From  gossip.Peer
	}
)

func (SendPacket) effect()       {}
func (Reply) effect()            {}
func (EndpointsChanged) effect() {}
func (IdleDropReported) effect() {}
func (ConfigAnnounced) effect()  {}

// RequestID correlates a [Heartbeat] or [Deregister] with its [Reply]. The caller chooses it.
type RequestID uint64

// Errors of replies. The endpoint tries another process.
var (
	ErrNotAcknowledged  = errors.New("no other processes have acknowledged it in time")
	ErrNoQuorumContact  = errors.New("no contact with the replicas")
	ErrTooManyEndpoints = errors.New("too many endpoints are known")
)
