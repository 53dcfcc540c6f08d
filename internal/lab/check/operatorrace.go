package check

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
)

// operatorRace is a model of five replicas and of operators that submit configurations to any of them: several at a time for
// the same base revision, and again after a lost response. Faults are partitions in one or both directions, proposers that
// crash, membership changes, lost disks, and disks that lose their last entry. At most one configuration for a base revision
// may be acknowledged, and an acknowledged configuration must be in the log.
type operatorRace struct {
	*memberCluster
	draw      func(n int) int
	hasLink   [][]bool // by receiver and sender: whether messages arrive
	submitted []*configRequest
	pending   []*configRequest // by replica: the request that its proposer works on; nil = none
	// acksAnyChosenValue breaks a rule on purpose: a proposer acknowledges its request when its proposal is chosen, whatever the value.
	acksAnyChosenValue bool
}

// configRequest is an operator's request to replace the configuration of a base revision.
type configRequest struct {
	base, revision uint64
	config         []byte
	digest         fleetconfig.Digest
	isAcked        bool
}

func newOperatorRace(draw func(n int) int) *operatorRace {
	r := &operatorRace{memberCluster: newMemberClusterOf(5), draw: draw, pending: make([]*configRequest, 5)}
	r.heal()
	return r
}

// heal ends the partition.
func (r *operatorRace) heal() {
	r.hasLink = nil
	for range r.replicas {
		r.hasLink = append(r.hasLink, []bool{true, true, true, true, true})
	}
}

// partition draws two sides, and cuts the links between them in one direction or in both.
func (r *operatorRace) partition() {
	r.heal()
	side, isOneWay := r.draw(31)+1, r.draw(2) == 0
	for i := range r.replicas {
		for j := range r.replicas {
			if a, b := side>>i&1, side>>j&1; a != b && (!isOneWay || a == 0) {
				r.hasLink[i][j] = false
			}
		}
	}
}

// reachable draws the bit masks of the replicas that a request of replica p reaches, and of those whose response arrives.
func (r *operatorRace) reachable(p int) (requestMask, responseMask int) {
	for i := range r.replicas {
		if i == p || r.hasLink[i][p] && r.draw(8) > 0 {
			requestMask |= 1 << i
		}
		if i == p || r.hasLink[p][i] && r.draw(8) > 0 {
			responseMask |= 1 << i
		}
	}
	return requestMask, responseMask
}

// state returns the state that results from replica p's log.
func (r *operatorRace) state(p int) *replog.State {
	s := &replog.State{}
	for _, entry := range r.replicas[p].log {
		s.Apply([]byte(entry)) // membership changes of this model are not replog entries: they only advance the index
	}
	return s
}

// submit submits a configuration to replica p: a new one for the revision that p has, a new one for the base revision of an
// earlier request, or an earlier request again.
func (r *operatorRace) submit(p int) {
	request := &configRequest{base: r.state(p).Revision}
	if n := len(r.submitted); n > 0 {
		switch earlier := r.submitted[r.draw(n)]; r.draw(3) {
		case 0:
			r.pending[p] = earlier
			return
		case 1:
			request.base = earlier.base
		}
	}
	request.revision = uint64(len(r.submitted) + 1)
	config, err := cbor.Marshal(map[string]any{"revision": request.revision, "routes": []any{}, "services": []any{}})
	if err != nil {
		return
	}
	if _, request.digest, err = fleetconfig.DecodeWithDigest(config); err != nil {
		return
	}
	request.config = config
	r.submitted = append(r.submitted, request)
	r.pending[p] = request
}

// step runs the next phase of replica p's proposal.
func (r *operatorRace) step(p int) {
	requestMask, responseMask := r.reachable(p)
	if r.openProposals[p] == nil {
		if value := r.nextValue(p); value != "" {
			r.beginProposal(p, r.newProposal(p, value, r.replicas[p].log), requestMask, responseMask)
		}
		return
	}
	// A pending outcome leaves the proposal open; a later step retries it, or a crash ends it.
	if outcome := r.finishProposal(p, requestMask, responseMask); outcome == paxos.OutcomeChosen && r.acksAnyChosenValue && r.pending[p] != nil {
		r.pending[p].isAcked, r.pending[p] = true, nil
	}
}

// nextValue returns the entry that replica p proposes: its pending request's configuration, unless that is already decided;
// without a request, possibly a membership change; "" = nothing.
func (r *operatorRace) nextValue(p int) string {
	request := r.pending[p]
	if request == nil {
		values := r.possibleValues(p)
		if value := values[r.draw(len(values))]; isMembersEntry(value) {
			return value
		}
		return ""
	}
	switch r.state(p).CheckConfig(request.base, request.revision, request.digest) {
	case replog.ConfigAlreadyAccepted:
		request.isAcked, r.pending[p] = true, nil
		return ""
	case replog.ConfigStaleBase, replog.ConfigRevisionTooLow:
		r.pending[p] = nil
		return ""
	}
	e := replog.Entry{Nonce: uint64(r.draw(1 << 30)), Payload: replog.ConfigChange{BaseRevision: request.base, Config: request.config}}
	return string(e.Encode())
}

// crash ends replica p's process: its proposal is gone, and its operator gets no response.
func (r *operatorRace) crash(p int) { r.openProposals[p], r.pending[p] = nil, nil }

// loseLastEntry restarts replica p without the last entry of its log, as if the entry had not been synced. An acceptor state of
// a later index proves that the entry was synced; the log then keeps it.
func (r *operatorRace) loseLastEntry(p int) {
	m := r.replicas[p]
	if n := len(m.log); n > 0 && m.acceptor.State.Index < uint64(n) {
		m.log = slices.Clone(m.log[:n-1])
		r.applyLog(m)
	}
	r.crash(p)
}

// canLoseDisk reports whether one more disk may be lost. Two of five are tolerated until replacements have caught up.
func (r *operatorRace) canLoseDisk() bool {
	log := r.replicas[0].log // becomes the longest
	for _, m := range r.replicas {
		if len(m.log) > len(log) {
			log = m.log
		}
	}
	lost := 0
	for _, id := range r.membersOf(log) {
		if !slices.ContainsFunc(r.replicas, func(m *logReplica) bool { return m.id == id && len(m.log) == len(log) }) {
			lost++
		}
	}
	return lost < 2
}

// raceViolation describes a violation of the log, two acknowledged configurations for one base revision, or an acknowledged
// configuration that is not in the log; "" = none.
func (r *operatorRace) raceViolation() string {
	if v := r.violation(); v != "" {
		return v
	}
	s := &replog.State{} // from all chosen entries, learned or not
	for index := 0; len(r.chosen[index]) > 0; index++ {
		for value := range r.chosen[index] {
			s.Apply([]byte(value))
		}
	}
	byBase := map[uint64]*configRequest{}
	for _, request := range r.submitted {
		if !request.isAcked {
			continue
		}
		if other := byBase[request.base]; other != nil {
			return fmt.Sprintf("for base revision %d both %d and %d are acknowledged", request.base, other.revision, request.revision)
		}
		if byBase[request.base] = request; !s.WasAccepted(request.base, request.revision, request.digest) {
			return fmt.Sprintf("revision %d is acknowledged, but not in the log", request.revision)
		}
	}
	return ""
}

// randomStep takes a random step of a random replica, or changes the partition.
func (r *operatorRace) randomStep() {
	p := r.draw(5)
	switch k := r.draw(32); {
	case k < 3 && r.pending[p] == nil && len(r.submitted) < 12:
		r.submit(p)
	case k < 22:
		r.step(p)
	case k < 26:
		if from := r.draw(5); r.hasLink[p][from] && r.hasLink[from][p] {
			r.catchUp(p, from)
		}
	case k == 26:
		r.partition()
	case k == 27:
		r.heal()
	case k == 28:
		r.crash(p)
	case k == 29:
		r.loseLastEntry(p)
	case k == 30 && r.canLoseDisk():
		r.wipe(p)
		r.pending[p] = nil
	}
}

// randomRaces runs a race of 120 random steps for each seed, and returns the first violation with its seed.
func randomRaces(seeds int, acksAnyChosenValue bool) (violation string, seed int) {
	for seed := range seeds {
		r := newOperatorRace(draws(seed))
		r.acksAnyChosenValue = acksAnyChosenValue
		for range 120 {
			r.randomStep()
			if v := r.raceViolation(); v != "" {
				return v, seed
			}
		}
	}
	return "", seeds
}
