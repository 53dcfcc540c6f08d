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
