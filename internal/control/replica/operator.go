package replica

import (
	"encoding/json"
	"fmt"
	"slices"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/replog"
)

// operatorResult is the result of an operator's request. Outcomes other than api.StatusUnavailable and
// api.StatusInternal are final: a retry of the same request gets the same outcome.
type operatorResult struct {
	outcome  api.Status
	reason   string // empty for api.StatusOK
	revision uint64
	body     []byte
}

func succeeded(revision uint64, body []byte) operatorResult {
	return operatorResult{outcome: api.StatusOK, revision: revision, body: body}
}

func invalid(err error) operatorResult {
	return operatorResult{outcome: api.StatusInvalid, reason: err.Error()}
}

func unavailable(err error) operatorResult {
	return operatorResult{outcome: api.StatusUnavailable, reason: err.Error()}
}

// answer sends the result of an operator's request.
func (r *Replica) answer(request RequestID, res operatorResult) {
	r.emit(OperatorAnswer{request, api.Result{Status: res.outcome, Message: res.reason, Body: res.body, Revision: res.revision}})
}

// answerWithResult answers an operator's request with result, or with api.StatusUnavailable if err is not nil.
func (r *Replica) answerWithResult(request RequestID, err error, result func() operatorResult) {
	if err != nil {
		r.answer(request, unavailable(err))
		return
	}
	r.answer(request, result())
}

// replaceConfig proposes an operator's configuration.
//
// Some outcomes are final, because no later state can contradict them, and may be answered from an old state: exactly
// this change was accepted (it is in the log, on its base), or it can never be accepted, because the state has a later
// revision than its base or its own revision is not above its base (replog.State.Apply accepts it only on exactly that
// base). Every other outcome requires a majority first: through a proposal, or through a confirmed state if the base is
// unknown here or an earlier release may have accepted a configuration that this one rejects.
func (r *Replica) replaceConfig(e ReplaceConfig) {
	c, digest, err := fleetconfig.DecodeWithDigest(e.Config)
	if err != nil { // every replica decodes it alike, so none has accepted it
		r.answer(e.Request, invalid(err))
		return
	}
	if err := checkConfig(c, e.Config); err != nil {
		r.rejectConfig(&configProposal{replica: r, event: e, revision: c.Revision, digest: digest}, err)
		return
	}
	entry := replog.Entry{Nonce: r.random.Uint64(), Payload: replog.ConfigChange{BaseRevision: e.BaseRevision, Config: e.Config}}
	p := &configProposal{replica: r, event: e, revision: c.Revision, digest: digest, value: entry.Encode()}
	if s := &r.state; s.NextIndex == 0 || s.Revision >= e.BaseRevision {
		p.propose()
		return
	}
	r.confirmState(e.Deadline, readActive, func(err error) { // the operator has seen a later revision
		if err != nil {
			r.answer(e.Request, unavailable(err))
			return
		}
		p.propose()
	})
}

// checkConfig returns an error if a configuration is invalid or incomplete.
func checkConfig(c *fleetconfig.Config, encoded []byte) error {
	if err := c.Validate(); err != nil {
		return err
	}
	return fleetconfig.CheckRequiredFields(encoded)
}

// configProposal is the proposal of an operator's configuration.
type configProposal struct {
	replica  *Replica
	event    ReplaceConfig
	revision uint64
	digest   fleetconfig.Digest
	value    []byte // the encoded entry
	result   operatorResult
}

func (p *configProposal) propose() {
	p.replica.propose(p.next, p.event.Deadline, func(err error) {
		p.replica.answerWithResult(p.event.Request, err, func() operatorResult { return p.result })
	})
}

// next is the EntryFunc. It returns the entry while the state may accept it, and otherwise records the result.
func (p *configProposal) next(s *replog.State) []byte {
	switch s.CheckConfig(p.event.BaseRevision, p.revision, p.digest) {
	case replog.ConfigAcceptable:
		return p.value
	case replog.ConfigAlreadyAccepted:
		p.result = succeeded(p.revision, nil)
	case replog.ConfigStaleBase:
		p.result = operatorResult{
			outcome: api.StatusStaleRevision, revision: s.Revision,
			reason: fmt.Sprintf("X-Revision-Match: revision %d is current, not %d", s.Revision, p.event.BaseRevision),
		}
	case replog.ConfigForgotten:
		p.result = forgotten(p.revision)
	case replog.ConfigRevisionTooLow:
		p.result = operatorResult{
			outcome: api.StatusInvalid, reason: fmt.Sprintf("revision: %d is not above the current one, %d", p.revision, s.Revision),
		}
	}
	return nil
}

// forgotten returns the result of a change that may have been accepted before the oldest revision of the history. It is
// neither acknowledged nor rejected.
func forgotten(revision uint64) operatorResult {
	return unavailable(fmt.Errorf("the history does not reach back to revision %d", revision))
}

// rejectConfig rejects an invalid configuration, unless an earlier, more lenient release has accepted the change.
func (r *Replica) rejectConfig(p *configProposal, fault error) {
	result := func() operatorResult {
		switch r.state.CheckConfig(p.event.BaseRevision, p.revision, p.digest) {
		case replog.ConfigAlreadyAccepted:
			return succeeded(p.revision, nil)
		case replog.ConfigForgotten:
			return forgotten(p.revision)
		}
		return invalid(fault)
	}
	if p.revision <= r.state.Revision { // accepted before this state, or never
		r.answer(p.event.Request, result())
		return
	}
	r.confirmState(p.event.Deadline, readActive, func(err error) {
		if err != nil {
			err = fmt.Errorf("%w: %w", err, fault)
		}
		r.answerWithResult(p.event.Request, err, result)
	})
}

// readConfig handles a ReadConfig.
func (r *Replica) readConfig(e ReadConfig) {
	mode := readActive
	if e.Passive {
		mode = readPassive
	}
	r.confirmState(e.Deadline, mode, func(err error) {
		r.answerWithResult(e.Request, err, func() operatorResult {
			if r.state.Config == nil {
				return operatorResult{outcome: api.StatusNotFound, reason: "there is no configuration yet"}
			}
			return succeeded(r.state.Revision, r.state.Config)
		})
	})
}

// readHistory handles a ReadHistory. The answer is a JSON list of the accepted configurations, newest last; their
// content is not kept.
func (r *Replica) readHistory(e ReadHistory) {
	r.confirmState(e.Deadline, readActive, func(err error) { r.answerWithResult(e.Request, err, r.history) })
}

func (r *Replica) history() operatorResult {
	type accepted struct {
		Revision uint64 `json:"revision"`
		Digest   string `json:"digest"` // first 8 bytes, in hexadecimal
	}
	all := []accepted{}
	for _, c := range r.state.History {
		all = append(all, accepted{c.Revision, fmt.Sprintf("%x", c.Digest[:8])})
	}
	b, err := json.Marshal(all)
	if err != nil {
		return operatorResult{outcome: api.StatusInternal, reason: err.Error()}
	}
	return succeeded(r.state.Revision, b)
}

// removeMember handles a RemoveMember, which removes the voters with a given name because they are permanently lost. At
// least MinVoters must remain. A removed replica that still runs becomes a learner, and may become a voter again if
// there are too few. The request is idempotent at every replica, because the state keeps the names of former members.
func (r *Replica) removeMember(e RemoveMember) {
	if !r.isVoter() {
		r.answer(e.Request, operatorResult{outcome: api.StatusUnavailable, reason: "this replica is not a member itself"})
		return
	}
	r.confirmState(e.Deadline, readActive, func(err error) {
		if err != nil {
			r.answer(e.Request, unavailable(err))
			return
		}
		r.proposeRemoval(e)
	})
}

func (r *Replica) proposeRemoval(e RemoveMember) {
	var res operatorResult
	r.changeMembers(func(s *replog.State) ([]replog.Member, error) {
		left := slices.DeleteFunc(slices.Clone(s.Members), func(m replog.Member) bool { return m.Name == e.Name })
		switch {
		case len(left) == len(s.Members) && slices.Contains(s.FormerMembers, e.Name):
			res = succeeded(s.Revision, nil)
		case len(left) == len(s.Members):
			res = operatorResult{outcome: api.StatusNotFound, reason: fmt.Sprintf("no member is named %q", e.Name)}
		case len(left) < r.MinVoters && s.HasLostVote(e.Name): // a retry: the replica was removed and is a voter again
			res = succeeded(s.Revision, nil)
		case len(left) < r.MinVoters:
			reason := fmt.Sprintf("%d members would be left, %d are required", len(left), r.MinVoters)
			res = operatorResult{outcome: api.StatusConflict, reason: reason}
		default:
			r.log.Info("removing voter", "name", e.Name, "voters", len(left))
			return left, nil
		}
		return nil, nil
	}, e.Deadline, func(err error) { r.answerWithResult(e.Request, err, func() operatorResult { return res }) })
}
