package node

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/limits"
)

// handleCall dispatches a call from a peer to the component that owns its kind.
func (n *Node) handleCall(ctx context.Context, kind rpc.Kind, from netip.Addr, body []byte) ([]byte, error) {
	switch rpc.Lookup(kind).Owner {
	case rpc.OwnerConfigs:
		return n.handleFetch(ctx, body)
	case rpc.OwnerReplica:
		return n.handleReplicaCall(ctx, kind, from, body)
	case rpc.OwnerSingleton:
		if n.singleton == nil {
			return nil, errNoReplica
		}
		return n.singleton.handleCall(kind, body)
	}
	return nil, rpc.UnknownKindError(kind)
}

// handleReplicaCall passes a call to the replica of this process.
func (n *Node) handleReplicaCall(ctx context.Context, kind rpc.Kind, from netip.Addr, body []byte) ([]byte, error) {
	if n.replica == nil {
		return nil, errNoReplica
	}
	ctx, cancel := context.WithTimeout(ctx, limits.OperatorCallTimeout)
	defer cancel()
	return n.replica.handleCall(ctx, kind, from, body)
}

// handleFetch answers a peer's fetch of the configuration with a delta to the configuration that the peer has. A process
// without a replica answers from its cache in both modes.
func (n *Node) handleFetch(ctx context.Context, body []byte) ([]byte, error) {
	index, mode, err := replica.DecodeIndexed(body)
	if err != nil {
		return nil, err
	}
	if decodeFetchMode(mode) == fetchConfirmed && n.replica != nil {
		ctx, cancel := context.WithTimeout(ctx, limits.ReplicaCallTimeout)
		defer cancel()
		r := n.replica.handleOperatorCall(ctx, func(id replica.RequestID, deadline time.Duration) replica.Event {
			return replica.ReadConfig{Request: id, Deadline: deadline, Passive: true}
		})
		if !r.Status.IsFinal() { // StatusNotFound is final: there is no configuration yet
			return nil, errors.New(r.Message)
		}
	}
	return n.configs.cache.EncodeReply(index), nil
}
