package core

import (
	"encoding/json"
	"fmt"
	"net/http"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/chain"
	"notchhinge/internal/control/declared"
)

// answer answers the operator: what f makes of it, or that it is not settled.
func (n *Node) answer(of any, err error, f func() api.Result) {
	if err != nil {
		n.do(Answered{of, api.Result{Status: http.StatusServiceUnavailable, Says: err.Error()}})
		return
	}
	n.do(Answered{of, f()})
}

// put does the operator's Replace. What is said for good is said upon a state that no later one contradicts, though it be
// old: that it was taken (the chain has it), and that it never will be, where a later version than the one it builds on is
// known, or its number is not above that (Apply takes it upon that very version alone). All else asks a majority first: a
// ballot, or settle where the operator names a version that is not known here, or where this program takes for invalid what
// an earlier one may have taken.
func (n *Node) put(e Put) {
	c, digest, err := declared.Decode(e.Text)
	if err != nil { // then no member has taken it: Apply reads it alike
		n.do(Answered{e.Of, api.Result{Status: http.StatusBadRequest, Says: err.Error()}})
		return
	}
	if err := c.Check(); err != nil {
		n.invalid(e, c.Revision, digest, err)
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
				if c.Revision < s.Oldest() {
					res.Says += fmt.Sprintf("; whether %d was ever taken is not known any more", c.Revision)
				}
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
	n.settle(e.Until, false, func(err error) { // the operator knows more than is known here
		if err != nil {
			n.answer(e.Of, err, nil)
			return
		}
		propose()
	})
}

// invalid refuses a configuration with a fault, unless it was taken by an earlier program that was more lenient.
func (n *Node) invalid(e Put, revision uint64, d declared.Digest, fault error) {
	taken := func() api.Result {
		if n.state.Was(revision, d) {
			return api.Result{Status: http.StatusOK, Rev: revision}
		}
		return api.Result{Status: http.StatusBadRequest, Says: fault.Error()}
	}
	if revision <= n.state.Revision {
		n.do(Answered{e.Of, taken()})
		return
	}
	n.settle(e.Until, false, func(err error) {
		if err != nil {
			err = fmt.Errorf("%w: %w", err, fault)
		}
		n.answer(e.Of, err, taken)
	})
}

// get does the operator's Describe.
func (n *Node) get(e Get) {
	n.settle(e.Until, e.Quiet, func(err error) {
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
	n.settle(e.Until, false, func(err error) {
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
