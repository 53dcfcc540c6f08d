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
	// Gossip passes an event to the gossip node.
	Gossip struct{ Event gossip.Event }
	// Heartbeat is a heartbeat that an endpoint has sent to this process. A [Reply] follows.
	Heartbeat struct {
		Request RequestID
		Record  endpoints.Record
	}
	// Deregister is the deregistration of an endpoint. A [Reply] follows.
	Deregister struct {
		Request    RequestID
		EndpointID string
	}
	// RecordsRestored passes the records that this process stored before its restart. It must be the first event.
	RecordsRestored struct{ Records []endpoints.Record }
	// RecordsStored ends a [StoreRecords]. Stored reports whether the records are durable.
	RecordsStored struct {
		Request StoreRecords
		Stored  bool
	}
	// ConfigStored reports that this process has stored the configuration with a log index.
	ConfigStored struct{ Index uint64 }
	// IdleDropObserved reports that an endpoint has dropped an idle connection without closing it.
	IdleDropObserved struct{}
)

func (Gossip) event()           {}
func (Heartbeat) event()        {}
func (Deregister) event()       {}
func (RecordsRestored) event()  {}
func (RecordsStored) event()    {}
func (ConfigStored) event()     {}
func (IdleDropObserved) event() {}

// Effect is an output of [Node.Reduce].
type Effect interface{ effect() }

type (
	// SendPacket is a gossip datagram for the caller to send.
	SendPacket gossip.SendPacket
	// Reply answers a [Heartbeat] or [Deregister]. HomeReplica is the replica that should receive the endpoint's further
	// heartbeats. If it is invalid, any process may.
	Reply struct {
		Request     RequestID
		Err         error
		HomeReplica netip.AddrPort
	}
	// StoreRecords requests that the records of endpoints are stored on the disk of this replica, in place of earlier records of
	// the same endpoints. A [RecordsStored] must follow.
	StoreRecords struct {
		ID      gossip.StorageID // of the broadcast that waits for them; 0 = none
		Records []endpoints.Record
	}
	// ForgetRecords requests that the stored records of endpoints are removed from the disk. It may be lost.
	ForgetRecords struct{ EndpointIDs []string }
	// EndpointsChanged reports that the set of live endpoints may have changed.
	EndpointsChanged struct{}
	// IdleDropReported reports that this or another process has observed an idle drop. Other endpoints may drop connections, too.
	IdleDropReported struct{}
	// ConfigAnnounced reports that the peer From has stored the configuration with a log index.
	ConfigAnnounced struct {
		Index uint64
		From  gossip.Peer
	}
)

func (SendPacket) effect()       {}
func (Reply) effect()            {}
func (StoreRecords) effect()     {}
func (ForgetRecords) effect()    {}
func (EndpointsChanged) effect() {}
func (IdleDropReported) effect() {}
func (ConfigAnnounced) effect()  {}

// RequestID correlates a [Heartbeat] or [Deregister] with its [Reply]. The caller chooses it.
type RequestID uint64

// Errors of a [Reply]. The endpoint retries at another process.
var (
	ErrNotAcknowledged  = errors.New("no other processes have acknowledged it in time")
	ErrNoQuorumContact  = errors.New("no contact with the replicas")
	ErrTooManyEndpoints = errors.New("too many endpoints are known")
)
