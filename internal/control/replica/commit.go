package replica

import (
	"net/netip"
	"slices"

	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
)

// commit applies the value chosen for an index. It reports whether the state now includes the index; a value beyond the
// next index cannot be applied.
func (r *Replica) commit(index uint64, value []byte) bool {
	if index != r.state.NextIndex {
		return index < r.state.NextIndex
	}
	membersBefore := r.state.Members
	r.state.Apply(value)
	r.alignAcceptor()
	if !slices.Equal(membersBefore, r.state.Members) {
		r.membershipChanged()
	}
	// Nothing waits for this write. If it fails, the value is still chosen, and the owner writes the whole state before
	// its next write.
	r.write(Write{Value: value}, nil)
	r.emit(StateChanged{r.state})
	return true
}

// announce sends the chosen value of an attempt to the voters. A voter that has accepted the value receives only its
// proposal number, because the value may be large. Other voters, and voters added by the value itself, receive the
// value. Announcements are not retried: a replica that misses one catches up later.
func (r *Replica) announce(a *attempt) {
	number, value := encodeCommit(a.Index, a.Number), EncodeIndexed(a.Index, a.Value)
	for i := range a.members {
		m := &a.members[i]
		to, ok := memberAddr(m)
		switch {
		case m.ID == r.Self.ID || !ok:
		case a.HasGranted(m.ID):
			r.call(to, rpc.KindCommit, number, nil)
		default:
			r.call(to, rpc.KindLearn, value, nil)
		}
	}
	for i := range r.state.Members {
		m := &r.state.Members[i]
		wasVoter := slices.ContainsFunc(a.members, func(x replog.Member) bool { return x.ID == m.ID })
		if to, ok := memberAddr(m); ok && m.ID != r.Self.ID && !wasVoter {
			r.call(to, rpc.KindLearn, value, nil)
		}
	}
}

// notifyLagging sends the next index of this replica to a member, so that the member catches up.
func (r *Replica) notifyLagging(id uint64, members []replog.Member) {
	for i := range members {
		if to, ok := memberAddr(&members[i]); ok && members[i].ID == id && id != r.Self.ID {
			r.call(to, rpc.KindLearn, EncodeIndexed(r.state.NextIndex, nil), nil)
		}
	}
}

// receiveLearn handles an rpc.KindLearn: the value chosen for an index, or a notice that the caller's log is longer.
func (r *Replica) receiveLearn(c CallReceived, reply replyFunc) {
	index, value, err := DecodeIndexed(c.Body)
	if reply(nil, err); err == nil {
		r.learn(c.From, index, value)
	}
}

// receiveCommit handles an rpc.KindCommit: the value accepted for an index under a proposal number was chosen. A
// replica that has not accepted that value catches up with the caller.
func (r *Replica) receiveCommit(c CallReceived, reply replyFunc) {
	index, number, err := decodeCommit(c.Body)
	if reply(nil, err); err != nil || index < r.state.NextIndex {
		return
	}
	var value []byte
	if accepted := &r.acceptor.State; accepted.Index == index && accepted.Accepted == number {
		value = accepted.Value
	}
	r.learn(c.From, index, value)
}

// learn commits a chosen value. If the value is missing or beyond the next index, it catches up with the sender.
func (r *Replica) learn(from netip.Addr, index uint64, value []byte) {
	r.lastAnnouncer, r.lastAnnouncementAt = from, r.now
	if len(value) > 0 && r.commit(index, value) {
		return
	}
	if to, ok := r.peerAt(from); ok {
		r.catchUp(to, func() {})
	}
}

// peerAt returns the first peer whose address has the given IP.
func (r *Replica) peerAt(ip netip.Addr) (netip.AddrPort, bool) {
	peers := r.Peers()
	i := slices.IndexFunc(peers, func(a netip.AddrPort) bool { return a.Addr() == ip })
	if i < 0 {
		return netip.AddrPort{}, false
	}
	return peers[i], true
}
