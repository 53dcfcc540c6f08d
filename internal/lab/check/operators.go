package check

import (
	"bytes"
	"net/http"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
)

// Rules of operators' calls that a walk breaks on purpose; each must be detected.
const (
	brokenLocalRejection = "changes are rejected from local state"
	brokenShortHistory   = "the history keeps only two revisions"
	brokenWonProposal    = "any chosen value confirms a change"
	brokenLocalReads     = "reads are answered without a quorum"
	brokenVoterCount     = "replicas without a vote count towards a quorum"
	brokenFormatFirst    = "the format is validated before the log is checked"
	brokenContentOnly    = "the content of an accepted change confirms it on any base"
)

var brokenOperators = []string{
	brokenLocalRejection, brokenShortHistory, brokenWonProposal, brokenLocalReads, brokenVoterCount, brokenFormatFirst, brokenContentOnly,
}

// configChange is an operator's change of the configuration, with the answers that replicas have given to it.
type configChange struct {
	base, revision uint64
	config         []byte
	digest         fleetconfig.Digest
	isInvalid      bool // this release rejects its format; only a replica of an earlier release proposes it
	lostAnswers    int  // number of answers that are still to be lost
	isAnswered     bool // the operator has received a final answer
	isAcked        bool // acknowledged by any replica, whether or not the operator received the answer
	isRejected     bool // rejected by any replica, likewise
}

// newConfigChange returns a change whose configuration differs from others by its body limit.
func newConfigChange(base, revision uint64, maxBodyBytes int) (*configChange, error) {
	config, err := cbor.Marshal(fleetconfig.Config{
		Revision: revision, Routes: []fleetconfig.Route{}, Services: []fleetconfig.Service{},
		RequestLimits: fleetconfig.RequestLimits{MaxBodyBytes: maxBodyBytes},
	})
	if err != nil {
		return nil, err
	}
	_, digest, err := fleetconfig.DecodeWithDigest(config)
	return &configChange{base: base, revision: revision, config: config, digest: digest}, err
}

// operatorWalk simulates operators that race under one revision: several submit different configurations for the same base
// revision, each to another replica. Meanwhile replicas are partitioned for up to 20 s in one direction or both, crash at any
// write, or lose their disks, and other operators read. An operator whose answers are lost submits its change to the next
// replica until it has a final answer, and sometimes again long after that.
//
// The walk compares the answers with the log. Of the changes for one base revision at most one is acknowledged, and every
// replica acknowledges it from then on. A rejected change is never accepted. A read is never older than a change that was
// acknowledged before the read began. The content of an accepted change is not acknowledged on another base.
type operatorWalk struct {
	*replicaCluster
	changes       []*configChange
	ackedRevision uint64 // highest acknowledged revision
	lastRevision  uint64
	answers       int // number of changes with a final answer
	reads         int // number of reads that succeeded
}

// proposeInvalid makes a replica of an earlier release propose a change that this release rejects. Its answer is lost, and the
// operator submits the change again to a replica of this release.
func (o *operatorWalk) proposeInvalid(base, revision uint64, hostIndex int) {
	change, err := newConfigChange(base, revision, -1)
	if err != nil {
		return
	}
	change.isInvalid, change.isAnswered = true, true
	o.changes = append(o.changes, change)
	entry := replog.Entry{Payload: replog.ConfigChange{BaseRevision: base, Config: change.config}}.Encode()
	h := o.hosts[hostIndex%len(o.hosts)]
	next := func(s *replog.State) []byte {
		if s.CheckConfig(base, revision, change.digest) == replog.ConfigAcceptable {
			return entry
		}
		return nil
	}
	done := h.proposals.Add(func(err error) {
		if err == nil { // after an error the entry may still be chosen; only its proposer can find out
			change.isAnswered = false
			o.submit(change, hostIndex+1)
		}
	})
	h.handle(replica.Propose{Deadline: o.now + requestTimeout, Next: next, Request: done})
}

// submission is one attempt to submit a change to a replica.
type submission struct {
	*operatorWalk
	change      *configChange
	hostIndex   int // modulo the number of hosts
	host        *host
	incarnation int  // of the host when the change was sent
	isDone      bool // the operator has an answer or has timed out
}

// submit sends a change to a replica. Without a final answer the operator goes on to the next replica.
func (o *operatorWalk) submit(change *configChange, hostIndex int) {
	h := o.hosts[hostIndex%len(o.hosts)]
	sub := &submission{operatorWalk: o, change: change, hostIndex: hostIndex, host: h, incarnation: h.incarnation}
	o.after(clientTimeout, sub.expire)
	o.after(time.Millisecond, sub.deliver)
}

func (sub *submission) isRunning() bool {
	return sub.host.isUp && sub.host.incarnation == sub.incarnation
}

// expire ends the attempt if there is no answer yet, and retries at the next replica.
func (sub *submission) expire() {
	if !sub.isDone {
		sub.isDone = true
		sub.retry()
	}
}

func (sub *submission) retry() {
	sub.after(time.Duration(100+sub.draw(300))*time.Millisecond, func() { sub.submit(sub.change, sub.hostIndex+1) })
}

// receive handles an answer at the operator.
func (sub *submission) receive(r api.Result) {
	if sub.isDone {
		return
	}
	sub.isDone = true
	if r.Status >= http.StatusInternalServerError {
		sub.retry()
		return
	}
	if !sub.change.isAnswered {
		sub.change.isAnswered = true
		sub.answers++
	}
	if r.Status == http.StatusOK && sub.draw(3) == 0 { // submit it again, long after
		sub.after(time.Duration(sub.draw(20000))*time.Millisecond, func() { sub.submit(sub.change, sub.hostIndex+1+sub.draw(4)) })
	}
}

// answer records a replica's answer and sends it to the operator, unless it is to be lost.
func (sub *submission) answer(r api.Result) {
	sub.checkAnswer(sub.change, sub.host, r)
	isLost := sub.change.lostAnswers > 0
	if r.Status < http.StatusInternalServerError && isLost {
		sub.change.lostAnswers--
	}
	if !isLost {
		sub.after(time.Millisecond, func() { sub.receive(r) })
	}
}

// deliver hands the change to the replica.
func (sub *submission) deliver() {
	if !sub.isRunning() {
		return
	}
	change, s := sub.change, sub.host.replica.State()
	status := s.CheckConfig(change.base, change.revision, change.digest)
	answer := sub.answer
	switch {
	case sub.brokenRule == brokenLocalRejection && (status == replog.ConfigStaleBase || status == replog.ConfigRevisionTooLow):
		answer(api.Result{Status: http.StatusPreconditionFailed})
		return
	case sub.brokenRule == brokenFormatFirst && change.isInvalid:
		answer(api.Result{Status: http.StatusBadRequest})
		return
	case sub.brokenRule == brokenShortHistory && status == replog.ConfigAlreadyAccepted && change.revision < s.History[max(len(s.History)-2, 0)].Revision:
		answer(api.Result{Status: http.StatusPreconditionFailed})
		return
	case sub.brokenRule == brokenContentOnly && slices.Contains(s.History, replog.AcceptedConfig{Revision: change.revision, Digest: change.digest}):
		answer(api.Result{Status: http.StatusOK})
		return
	case sub.brokenRule == brokenWonProposal && status == replog.ConfigAcceptable:
		w := &wonProposal{submission: sub, index: s.NextIndex}
		answer = w.answer
		sub.after(time.Millisecond, w.watch)
	}
	sub.host.handle(replica.ReplaceConfig{
		BaseRevision: change.base, Config: change.config, Deadline: sub.now + requestTimeout, Request: sub.host.answers.Add(answer),
	})
}

// wonProposal breaks the rule brokenWonProposal: any value that is chosen at the next index acknowledges the change.
type wonProposal struct {
	*submission
	index      uint64
	isAnswered bool
}

func (w *wonProposal) answer(r api.Result) {
	if !w.isAnswered {
		w.isAnswered = true
		w.submission.answer(r)
	}
}

func (w *wonProposal) watch() {
	if !w.isRunning() || w.isAnswered {
		return
	}
	if s := w.host.replica.State(); s.NextIndex > w.index {
		w.answer(api.Result{Status: http.StatusOK})
	}
	w.after(time.Millisecond, w.watch)
}

// checkAnswer records a replica's answer to a change and checks it against earlier ones, whether or not the operator receives it.
func (o *operatorWalk) checkAnswer(change *configChange, h *host, r api.Result) {
	switch {
	case r.Status == http.StatusOK:
		change.isAcked = true
		o.ackedRevision = max(o.ackedRevision, change.revision)
		for _, other := range o.changes {
			if other != change && other.base == change.base && other.isAcked {
				o.violate("base revision %d: changes to %d and %d are both acknowledged", change.base, other.revision, change.revision)
			}
		}
	case r.Status < http.StatusInternalServerError:
		change.isRejected = true
	}
	if change.isAcked && change.isRejected {
		o.violate("revision %d for base %d is both rejected and acknowledged (replica %d answers %d: %s)", change.revision, change.base, h.index, r.Status, r.Message)
	}
}

// read reads the configuration from a replica, and checks the answer.
func (o *operatorWalk) read(hostIndex int) {
	h, minRevision := o.hosts[hostIndex%len(o.hosts)], o.ackedRevision
	if !h.isUp {
		return
	}
	answer := func(r api.Result) { o.checkRead(h, minRevision, r) }
	if s := h.replica.State(); o.brokenRule == brokenLocalReads && s.Config != nil {
		answer(api.Result{Status: http.StatusOK, Revision: s.Revision, Body: s.Config})
		return
	}
	h.handle(replica.ReadConfig{Deadline: o.now + requestTimeout, Request: h.answers.Add(answer)})
}

// checkRead checks that a read is no older than minRevision, and that its configuration was submitted and not rejected.
func (o *operatorWalk) checkRead(h *host, minRevision uint64, r api.Result) {
	if r.Status >= http.StatusInternalServerError {
		return
	}
	o.reads++
	if r.Status == http.StatusNotFound && minRevision == 0 {
		return
	}
	if r.Revision < minRevision {
		o.violate("replica %d reads revision %d, but %d was already acknowledged", h.index, r.Revision, minRevision)
	}
	for _, change := range o.changes {
		if change.revision == r.Revision && bytes.Equal(change.config, r.Body) {
			if change.isRejected {
				o.violate("revision %d is read, but was rejected", r.Revision)
			}
			return
		}
	}
	o.violate("revision %d is read, but was never submitted", r.Revision)
}

// checkLog checks the answers against the longest log of any replica. Only at the end must it contain every acknowledged change:
// until then a chosen value may be missing from all logs, and be held only by the acceptors that accepted it.
func (o *operatorWalk) checkLog(atEnd bool) {
	s := o.replicaCluster.newestState()
	for _, change := range o.changes {
		switch accepted := s.WasAccepted(change.base, change.revision, change.digest); {
		case accepted && change.isRejected:
			o.violate("revision %d for base %d was rejected, but is in the log", change.revision, change.base)
		case atEnd && !accepted && change.isAcked:
			o.violate("revision %d for base %d was acknowledged, but is not in the log", change.revision, change.base)
		}
	}
}

// startRace makes two to four operators submit a change each, for one base and under one revision, each to another replica.
func (o *operatorWalk) startRace() {
	base := o.ackedRevision
	if o.draw(3) == 0 { // a base that the operator read from a replica, possibly long ago
		h := o.hosts[o.draw(len(o.hosts))]
		base = h.state.Revision
	}
	o.lastRevision = max(o.lastRevision, base) + 1 + uint64(o.draw(3))
	first := o.draw(len(o.hosts))
	if o.draw(12) == 0 {
		o.proposeInvalid(base, o.lastRevision, first)
		return
	}
	for k := range 2 + o.draw(min(len(o.hosts), 4)-1) {
		lostAnswers := o.draw(3)
		change, err := newConfigChange(base, o.lastRevision, k)
		if err != nil {
			continue
		}
		change.lostAnswers = lostAnswers
		o.changes = append(o.changes, change)
		o.submit(change, first+k)
	}
}

// submitOldContents submits the content of each accepted change but the newest on top of the newest revision, as an operator does who
// sends an old file again. No replica may acknowledge it.
func (o *operatorWalk) submitOldContents() {
	s := o.replicaCluster.newestState()
	for i, old := range slices.Clone(o.changes) {
		if old.revision < s.Revision && s.WasAccepted(old.base, old.revision, old.digest) {
			change := &configChange{base: s.Revision, revision: old.revision, config: old.config, digest: old.digest}
			o.changes = append(o.changes, change)
			o.submit(change, i)
		}
	}
}

// walk runs the races, reads and faults of the walk, then heals the site and checks the final state.
func (o *operatorWalk) walk() {
	o.run(time.Second)
	for range 45 {
		switch k := o.draw(8); {
		case k < 3:
			o.startRace()
		case k < 5:
			o.read(o.draw(len(o.hosts)))
		case k == 5:
			o.injectFault()
		}
		o.run(time.Duration(20+o.draw(1500)) * time.Millisecond)
		if o.checkLog(false); o.violation != "" {
			return
		}
	}
	o.heal()
	o.run(8 * time.Second)
	for _, change := range o.changes {
		if !change.isAnswered {
			o.violate("revision %d for base %d has no final answer 8 s after the last fault", change.revision, change.base)
		}
		for hostIndex := range o.hosts { // submit it once more to each replica
			if o.replicaCluster.newestState().WasAccepted(change.base, change.revision, change.digest) {
				change.lostAnswers = 0
				o.submit(change, hostIndex)
			}
		}
	}
	o.submitOldContents()
	for hostIndex := range o.hosts {
		o.read(hostIndex)
	}
	o.run(3 * time.Second)
	o.checkLog(true)
}

// runOperatorWalk runs the walk of a seed with a rule broken, and returns the walk at its end. brokenRule = "" breaks none.
func runOperatorWalk(seed int, brokenRule string) *operatorWalk {
	draw := draws(seed)
	o := &operatorWalk{replicaCluster: newReplicaCluster(draw, 3+2*draw(2), 0, brokenRule)}
	o.walk()
	return o
}

// randomOperatorWalks runs a walk for each seed, and returns the first violation with its seed.
func randomOperatorWalks(seeds int, brokenRule string) (violation string, seed int) {
	for seed := range seeds {
		if violation := runOperatorWalk(seed, brokenRule).violation; violation != "" {
			return violation, seed
		}
	}
	return "", seeds
}
