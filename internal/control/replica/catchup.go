package replica

import (
	"net/netip"
	"slices"

	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
)

// oldestStateVersion is the state format for callers that do not send the newest format they can read.
const oldestStateVersion byte = 1

// catchUp fetches the state of another replica as a snapshot and installs it if it is newer than the local state. A
// state may be large, so concurrent requests to one replica share a call. done is called in any case.
func (r *Replica) catchUp(from netip.AddrPort, done func()) {
	waiting, requested := r.catchUpWaiters[from]
	if r.catchUpWaiters[from] = append(waiting, done); requested {
		return
	}
	body := EncodeIndexed(r.state.NextIndex, []byte{replog.StateVersion})
	r.call(from, rpc.KindSnapshot, body, func(body []byte, err error) { r.receiveSnapshotReply(from, body, err) })
}

// receiveSnapshotReply handles the answer to an rpc.KindSnapshot. An empty body means that the callee's log is not
// longer than the caller's.
func (r *Replica) receiveSnapshotReply(from netip.AddrPort, body []byte, err error) {
	if err != nil || len(body) == 0 {
		r.catchUpDone(from)
		return
	}
	state, err := replog.DecodeState(body)
	if err != nil {
		r.catchUpDone(from)
		return
	}
	before := r.state.NextIndex
	r.installSnapshot(state, func() {
		if r.state.NextIndex > before {
			r.log.Info("caught up", "peer", from.String(), "next_index", r.state.NextIndex, "revision", r.state.Revision)
		}
		r.catchUpDone(from)
	})
}

func (r *Replica) catchUpDone(from netip.AddrPort) {
	waiting := r.catchUpWaiters[from]
	delete(r.catchUpWaiters, from)
	for _, done := range waiting {
		done()
	}
}

// installSnapshot replaces the state with a newer one, once the newer one is durable. done is called in any case.
func (r *Replica) installSnapshot(state *replog.State, done func()) {
	if state.NextIndex <= r.state.NextIndex {
		done()
		return
	}
	r.write(Write{Snapshot: true, State: state}, func(durable bool) {
		if durable && state.NextIndex > r.state.NextIndex {
			membersBefore := r.state.Members
			r.state = *state
			r.alignAcceptor()
			if !slices.Equal(membersBefore, state.Members) {
				r.membershipChanged()
			}
			r.emit(StateChanged{r.state})
		}
		done()
	})
}

// receiveSnapshotRequest handles an rpc.KindSnapshot. If the state's next index is above the caller's, it replies with
// the state, in the newest format that the caller reads. Callers of earlier releases do not send a format.
func (r *Replica) receiveSnapshotRequest(c CallReceived, reply replyFunc) {
	index, formats, err := DecodeIndexed(c.Body)
	if err != nil || r.state.NextIndex <= index {
		reply(nil, err)
		return
	}
	newest := oldestStateVersion
	if len(formats) > 0 {
		newest = formats[0]
	}
	reply(r.state.EncodeAs(newest), nil)
}
