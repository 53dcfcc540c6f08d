package replica

import (
	"encoding/json"
	"fmt"
	"slices"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/replog"
)

// operatorResult is the outcome of an operator's request and what goes with it. Outcomes other than api.StatusUnavailable and
// api.StatusInternal are final: the same request never has another.
type operatorResult struct {
	outcome  api.Status
	reason   string // of an outcome that is not api.StatusOK
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

// answer answers an operator's request.
func (r *Replica) answer(request RequestID, res operatorResult) {
	r.emit(OperatorAnswer{request, api.Result{Status: res.outcome, Message: res.reason, Body: res.body, Revision: res.revision}})
}

// answerRead answers a read once the state here is confirmed.
func (r *Replica) answerRead(request RequestID, err error, result func() operatorResult) {
	if err != nil {
		r.answer(request, unavailable(err))
		return
	}
	r.answer(request, result())
}

// replaceConfig has an operator's configuration chosen.
//
// An answer is final where no later state can contradict it, and may then be given upon an old one: that the configuration was
// accepted, which the log has; that it never will be, because a later revision than its base is known or its revision is not
// above its base (replog.State.Apply accepts it upon that very base alone). Anything else asks a majority first: a proposal, or
// a confirmed state where the operator names a base that is not known here, or where this release rejects what an earlier one
// may have accepted.
func (r *Replica) replaceConfig(e ReplaceConfig) {
	c, digest, err := fleetconfig.DecodeWithDigest(e.Config)
	if err != nil { // no replica has accepted it: all of them decode it alike
		r.answer(e.Request, invalid(err))
		return
	}
	if err := c.Validate(); err != nil {
		r.rejectConfig(e, replog.AcceptedConfig{Revision: c.Revision, Digest: digest}, err)
		return
	}
	entry := replog.Entry{Nonce: r.random.Uint64(), Payload: replog.ConfigChange{BaseRevision: e.BaseRevision, Config: e.Config}}
	p := &configProposal{replica: r, event: e, revision: c.Revision, digest: digest, value: entry.Encode()}
	if s := &r.state; s.NextIndex == 0 || s.Revision >= e.BaseRevision || s.WasAccepted(c.Revision, digest) {
		p.propose()
		return
	}
	r.confirmState(e.Deadline, readActive, func(err error) { // the operator knows a later revision
		if err != nil {
			r.answer(e.Request, unavailable(err))
			return
		}
		p.propose()
	})
}

// configProposal is an operator's configuration that is proposed.
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
		p.replica.answerRead(p.event.Request, err, func() operatorResult { return p.result })
	})
}

// next is the EntryFunc: it returns the entry for as long as a state may accept it, and notes the result otherwise.
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
		if p.revision < s.OldestRevision() {
			p.result.reason += fmt.Sprintf("; the history does not reach back to revision %d", p.revision)
		}
	case replog.ConfigRevisionTooLow:
		p.result = operatorResult{
			outcome: api.StatusInvalid, reason: fmt.Sprintf("revision: %d is not above the current one, %d", p.revision, s.Revision),
		}
	}
	return nil
}

// rejectConfig rejects an invalid configuration, unless an earlier release, which was more lenient, has accepted it.
func (r *Replica) rejectConfig(e ReplaceConfig, c replog.AcceptedConfig, fault error) {
	result := func() operatorResult {
		if r.state.WasAccepted(c.Revision, c.Digest) {
			return succeeded(c.Revision, nil)
		}
		return invalid(fault)
	}
	if c.Revision <= r.state.Revision {
		r.answer(e.Request, result())
		return
	}
	r.confirmState(e.Deadline, readActive, func(err error) {
		if err != nil {
			err = fmt.Errorf("%w: %w", err, fault)
		}
		r.answerRead(e.Request, err, result)
	})
}

// readConfig reads the configuration.
func (r *Replica) readConfig(e ReadConfig) {
	mode := readActive
	if e.Passive {
		mode = readPassive
	}
	r.confirmState(e.Deadline, mode, func(err error) {
		r.answerRead(e.Request, err, func() operatorResult {
			if r.state.Config == nil {
				return operatorResult{outcome: api.StatusNotFound, reason: "there is no configuration yet"}
			}
			return succeeded(r.state.Revision, r.state.Config)
		})
	})
}

// readHistory lists the configurations that were accepted, the newest last, as JSON. Their content is not kept.
func (r *Replica) readHistory(e ReadHistory) {
	r.confirmState(e.Deadline, readActive, func(err error) { r.answerRead(e.Request, err, r.history) })
}

func (r *Replica) history() operatorResult {
	type accepted struct {
		Revision uint64 `json:"revision"`
		Digest   string `json:"digest"` // its first 8 bytes
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

// removeMember removes the voters of a name, which are gone for good. As many as MinVoters must be left. A replica that runs
// becomes a learner, or is made a voter again where there are fewer than there should be. The request is idempotent, at any
// replica: the state keeps the names of former members.
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
		r.removeConfirmed(e)
	})
}

func (r *Replica) removeConfirmed(e RemoveMember) {
	var res operatorResult
	r.changeMembers(func(s *replog.State) ([]replog.Member, error) {
		left := slices.DeleteFunc(slices.Clone(s.Members), func(m replog.Member) bool { return m.Name == e.Name })
		switch {
		case len(left) == len(s.Members) && slices.Contains(s.FormerMembers, e.Name):
			res = succeeded(s.Revision, nil)
		case len(left) == len(s.Members):
			res = operatorResult{outcome: api.StatusNotFound, reason: fmt.Sprintf("no member is named %q", e.Name)}
		case len(left) < r.MinVoters && s.HasLostVote(e.Name): // a retry: it has a vote again
			res = succeeded(s.Revision, nil)
		case len(left) < r.MinVoters:
			reason := fmt.Sprintf("%d members would be left, %d are required", len(left), r.MinVoters)
			res = operatorResult{outcome: api.StatusConflict, reason: reason}
		default:
			r.log.Info("removing voter", "name", e.Name, "voters", len(left))
			return left, nil
		}
		return nil, nil
	}, e.Deadline, func(err error) { r.answerRead(e.Request, err, func() operatorResult { return res }) })
}
