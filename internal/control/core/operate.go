package core

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/chain"
	"notchhinge/internal/control/declared"
	"notchhinge/internal/limits"
)

// answer answers the operator: what f makes of it, or that it is not settled.
func (n *Node) answer(of any, err error, f func() api.Result) {
	if err != nil {
		n.do(Answered{of, api.Result{Status: http.StatusServiceUnavailable, Says: err.Error()}})
		return
	}
	n.do(Answered{of, f()})
}

// put does the operator's Replace.
func (n *Node) put(e Put) {
	c, digest, err := declared.Decode(e.Text)
	if err == nil {
		err = c.Check()
	}
	if err != nil {
		n.do(Answered{e.Of, api.Result{Status: http.StatusBadRequest, Says: err.Error()}})
		return
	}
	entry := chain.Entry{Kind: chain.Config, Nonce: n.rnd.Uint64(), On: e.On, Text: e.Text}
	value := entry.Encode()
	var res api.Result
	propose := func() {
		n.propose(func(s *chain.State) []byte {
			switch s.Stands(e.On, c.Revision, digest) {
			case chain.Open:
				return value
			case chain.Was:
				res = api.Result{Status: http.StatusOK, Rev: c.Revision}
			case chain.Late:
				res = api.Result{Status: http.StatusPreconditionFailed, Rev: s.Revision,
					Says: fmt.Sprintf("X-Revision-Match: version %d is current, not %d", s.Revision, e.On)}
			case chain.Low:
				res = api.Result{Status: http.StatusBadRequest,
					Says: fmt.Sprintf("revision: %d is not above the current one, %d", c.Revision, s.Revision)}
			}
			return nil
		}, e.Until, func(err error) { n.answer(e.Of, err, func() api.Result { return res }) })
	}
	if s := &n.state; s.Next == 0 || s.Revision >= e.On || s.Was(c.Revision, digest) {
		propose()
		return
	}
	n.settle(e.Until, func(err error) { // the operator knows more than is known here
		if err != nil {
			n.answer(e.Of, err, nil)
			return
		}
		propose()
	})
}

// get does the operator's Describe.
func (n *Node) get(e Get) {
	n.settle(e.Until, func(err error) {
		n.answer(e.Of, err, func() api.Result {
			if n.state.Text == nil {
				return api.Result{Status: http.StatusNotFound, Says: "there is no configuration yet"}
			}
			return api.Result{Status: http.StatusOK, Rev: n.state.Revision, Body: n.state.Text}
		})
	})
}

// history lists the configurations that were taken, the newest last, as JSON. Their texts are not kept.
func (n *Node) history(e History) {
	n.settle(e.Until, func(err error) {
		n.answer(e.Of, err, func() api.Result {
			type taken struct {
				Revision uint64 `json:"revision"`
				Digest   string `json:"digest"`
			}
			all := []taken{}
			for _, h := range n.state.History {
				all = append(all, taken{h.Revision, fmt.Sprintf("%x", h.Digest[:8])})
			}
			b, err := json.Marshal(all)
			if err != nil {
				return api.Result{Status: http.StatusInternalServerError, Says: err.Error()}
			}
			return api.Result{Status: http.StatusOK, Rev: n.state.Revision, Body: b}
		})
	})
}

// dismiss takes members of a name out that are gone for good, so that a majority need not be made up of who will never
// answer. Those that are left must still be as many as the losses that are to be borne want. Who runs is taken in again.
func (n *Node) dismiss(e Dismiss) {
	if n.state.Member(n.Self.ID) == nil {
		n.do(Answered{e.Of, api.Result{Status: http.StatusServiceUnavailable, Says: "this keeper is no member itself"}})
		return
	}
	n.settle(e.Until, func(err error) {
		if err != nil {
			n.answer(e.Of, err, nil)
			return
		}
		done := false
		var res api.Result
		n.propose(func(s *chain.State) []byte {
			x := &chain.Entry{Kind: chain.Members, Nonce: n.rnd.Uint64()}
			for _, m := range s.Members {
				if m.Name != e.Name {
					x.Members = append(x.Members, m)
				}
			}
			switch {
			case len(x.Members) == len(s.Members) && done:
				res = api.Result{Status: http.StatusOK, Rev: s.Revision}
			case len(x.Members) == len(s.Members):
				res = api.Result{Status: http.StatusNotFound, Says: fmt.Sprintf("no member is named %q", e.Name)}
			case len(x.Members) < n.Least:
				res = api.Result{Status: http.StatusConflict, Says: fmt.Sprintf("%d members would be left; %d are wanted", len(x.Members), n.Least)}
			default:
				done = true
				n.log.Info("taking a member out", "name", e.Name, "left", len(x.Members))
				return x.Encode()
			}
			return nil
		}, e.Until, func(err error) { n.answer(e.Of, err, func() api.Result { return res }) })
	})
}

// proposer is the keeper that has changes settled just now, if that is another and who asks to be taken in has called here
// itself. Where changes are made all the time only that one can have a further one settled, between two of them: another's
// ballot for a few bytes is in the way of its large ones, and loses against them.
func (n *Node) proposer(i *identity, from netip.Addr) (to netip.AddrPort, ok bool) {
	if own, ok := addr(&i.Member); !ok || own.Addr() != from || n.now-n.toldAt > limits.NodeAsk || n.teller == from || len(n.queue) > 0 {
		return to, false
	}
	all := n.Others()
	at := slices.IndexFunc(all, func(a netip.AddrPort) bool { return a.Addr() == n.teller })
	if at < 0 {
		return to, false
	}
	return all[at], true
}

// admit has a keeper taken in, in the place of the one of its name whose disk is gone, or as a further one. Who asks has
// caught up but for what was chosen as it asked, so that a majority does not come to depend on who knows nothing.
func (n *Node) admit(i identity, done func(error)) {
	if n.state.Member(n.Self.ID) == nil || i.next == 0 || i.next+limits.NodeAlmost < n.state.Next {
		done(errBehind)
		return
	}
	n.propose(func(s *chain.State) []byte {
		if s.Member(i.ID) != nil || i.ID == 0 || len(s.Members) > mostVoters {
			return nil
		}
		e := &chain.Entry{Kind: chain.Members, Nonce: n.rnd.Uint64(), Members: slices.Clone(s.Members)}
		at := slices.IndexFunc(e.Members, func(m chain.Member) bool { return m.Name == i.Name })
		if at >= 0 {
			e.Members[at] = i.Member
		} else {
			e.Members = append(e.Members, i.Member)
		}
		n.log.Info("taking a member in", "name", i.Name, "member", member(i.ID), "instead_of_its_former_disk", at >= 0)
		return e.Encode()
	}, n.now+settleWithin, done)
}
