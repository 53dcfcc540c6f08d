package replica

import (
	"encoding/json"
	"fmt"
	"net/http"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/replog"
)

// answer answers the operator: what f makes of it, or that it is not settled.
func (n *Replica) answer(of any, err error, f func() api.Result) {
	if err != nil {
		n.do(OperatorAnswer{of, api.Result{Status: http.StatusServiceUnavailable, Message: err.Error()}})
		return
	}
	n.do(OperatorAnswer{of, f()})
}

// put does the operator's Replace. What is said for good is said upon a state that no later one contradicts, though it be
// old: that it was taken (the chain has it), and that it never will be, where a later version than the one it builds on is
// known, or its number is not above that (Apply takes it upon that very version alone). All else asks a majority first: a
// ballot, or settle where the operator names a version that is not known here, or where this program takes for invalid what
// an earlier one may have taken.
func (n *Replica) put(e ReplaceConfig) {
	c, digest, err := fleetconfig.DecodeWithDigest(e.Config)
	if err != nil { // then no member has taken it: Apply reads it alike
		n.do(OperatorAnswer{e.Of, api.Result{Status: http.StatusBadRequest, Message: err.Error()}})
		return
	}
	if err := c.Validate(); err != nil {
		n.invalid(e, c.Revision, digest, err)
		return
	}
	entry := replog.Entry{Nonce: n.rnd.Uint64(), Payload: replog.ConfigChange{BaseRevision: e.BaseRevision, Config: e.Config}}
	value := entry.Encode()
	var res api.Result
	propose := func() {
		n.propose(func(s *replog.State) []byte {
			switch s.CheckConfig(e.BaseRevision, c.Revision, digest) {
			case replog.ConfigAcceptable:
				return value
			case replog.ConfigAlreadyAccepted:
				res = api.Result{Status: http.StatusOK, Revision: c.Revision}
			case replog.ConfigStaleBase:
				res = api.Result{Status: http.StatusPreconditionFailed, Revision: s.Revision,
					Message: fmt.Sprintf("X-Revision-Match: version %d is current, not %d", s.Revision, e.BaseRevision)}
				if c.Revision < s.OldestRevision() {
					res.Message += fmt.Sprintf("; whether %d was ever taken is not known any more", c.Revision)
				}
			case replog.ConfigRevisionTooLow:
				res = api.Result{Status: http.StatusBadRequest,
					Message: fmt.Sprintf("revision: %d is not above the current one, %d", c.Revision, s.Revision)}
			}
			return nil
		}, e.Until, func(err error) { n.answer(e.Of, err, func() api.Result { return res }) })
	}
	if s := &n.state; s.NextIndex == 0 || s.Revision >= e.BaseRevision || s.WasAccepted(c.Revision, digest) {
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
func (n *Replica) invalid(e ReplaceConfig, revision uint64, d fleetconfig.Digest, fault error) {
	taken := func() api.Result {
		if n.state.WasAccepted(revision, d) {
			return api.Result{Status: http.StatusOK, Revision: revision}
		}
		return api.Result{Status: http.StatusBadRequest, Message: fault.Error()}
	}
	if revision <= n.state.Revision {
		n.do(OperatorAnswer{e.Of, taken()})
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
func (n *Replica) get(e ReadConfig) {
	n.settle(e.Until, e.Passive, func(err error) {
		n.answer(e.Of, err, func() api.Result {
			if n.state.Config == nil {
				return api.Result{Status: http.StatusNotFound, Message: "there is no configuration yet"}
			}
			return api.Result{Status: http.StatusOK, Revision: n.state.Revision, Body: n.state.Config}
		})
	})
}

// history lists the configurations that were taken, the newest last, as JSON. Their texts are not kept.
func (n *Replica) history(e ReadHistory) {
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
				return api.Result{Status: http.StatusInternalServerError, Message: err.Error()}
			}
			return api.Result{Status: http.StatusOK, Revision: n.state.Revision, Body: b}
		})
	})
}
