package check

import (
	"bytes"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
)

// Operators race under one revision: each sends another configuration upon the same base, at all replicas at once, while these are
// cut off for 20 s one way or both, killed at any write, or lose their disks. Answers are lost, once and twice, and the change goes
// to the next replica until there is a definite answer, and some again long after that. Others read meanwhile. The answers are
// held against the log: of two changes upon one base one is confirmed, by every replica for ever; what any replica has rejected is
// never accepted; what is read is no older than what had been confirmed.

// Rules of operators' calls that are broken on purpose; each must be found out.
const (
	brokenLocalRejection = "rejects by what the replica knows itself"
	brokenShortHistory   = "keeps two of the history"
	brokenWonProposal    = "a proposal that was won is taken for one's own"
	brokenLocalReads     = "reads without a majority"
	brokenVoterCount     = "who is no voter counts"
	brokenFormatFirst    = "validates the format before it looks into the log"
)

var brokenOperators = []string{
	brokenLocalRejection, brokenShortHistory, brokenWonProposal, brokenLocalReads, brokenVoterCount, brokenFormatFirst,
}

// configChange is an operator's configuration, and what was answered.
type configChange struct {
	base, revision uint64
	config         []byte
	digest         fleetconfig.Digest
	invalid        bool // only replicas of an earlier release propose it
	lostAnswers    int  // how many are still to be lost
	answered       bool // the operator has a definite answer
	confirmed      bool // a replica has said so, whether the operator received it or not
	rejected       bool // likewise
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

// operators are those of a walk.
type operators struct {
	*replicaCluster
	changes      []*configChange
	newest       uint64 // revision that is confirmed
	lastRevision uint64
	answers      int // definite ones
	reads        int // that were answered
}

// submitInvalid has a replica of an earlier release propose what this release rejects, and its answer is lost: the operator sends
// it again, to a replica of this release.
func (o *operators) submitInvalid(base, revision uint64, at int) {
	x, err := newConfigChange(base, revision, -1)
	if err != nil {
		return
	}
	x.invalid, x.answered = true, true
	o.changes = append(o.changes, x)
	entry := replog.Entry{Payload: replog.ConfigChange{BaseRevision: base, Config: x.config}}.Encode()
	h := o.hosts[at%len(o.hosts)]
	next := func(s *replog.State) []byte {
		if s.CheckConfig(base, revision, x.digest) == replog.ConfigAcceptable {
			return entry
		}
		return nil
	}
	done := h.proposals.Add(func(err error) {
		if err == nil { // else it may still be accepted, which only its proposer can tell
			x.answered = false
			o.submit(x, at+1)
		}
	})
	h.handle(replica.Propose{Deadline: o.now + requestTimeout, Next: next, Request: done})
}

// submission is one attempt to have a replica accept a change.
type submission struct {
	*operators
	change      *configChange
	at          int // its replica's number
	host        *host
	incarnation int  // of the host, as it was sent
	closed      bool // the operator has an answer, or waits no more
}

// submit sends a change to a replica, and to the next one until there is a definite answer.
func (o *operators) submit(x *configChange, at int) {
	h := o.hosts[at%len(o.hosts)]
	a := &submission{operators: o, change: x, at: at, host: h, incarnation: h.incarnation}
	o.after(clientTimeout, a.timeOut)
	o.after(time.Millisecond, a.arrive)
}

func (a *submission) isRunning() bool { return a.host.isUp && a.host.incarnation == a.incarnation }

// timeOut has the operator try the next replica, if there is no answer yet.
func (a *submission) timeOut() {
	if !a.closed {
		a.closed = true
		a.retry()
	}
}

func (a *submission) retry() {
	a.after(time.Duration(100+a.draw(300))*time.Millisecond, func() { a.submit(a.change, a.at+1) })
}

// receive is the operator's end of an answer.
func (a *submission) receive(r api.Result) {
	if a.closed {
		return
	}
	a.closed = true
	if r.Status >= http.StatusInternalServerError {
		a.retry()
		return
	}
	if !a.change.answered {
		a.change.answered = true
		a.answers++
	}
	if r.Status == http.StatusOK && a.draw(3) == 0 { // and again, long after
		a.after(time.Duration(a.draw(20000))*time.Millisecond, func() { a.submit(a.change, a.at+1+a.draw(4)) })
	}
}

// answer is the replica's end of an answer, which may be lost.
func (a *submission) answer(r api.Result) {
	a.check(a.change, a.host, r)
	isLost := a.change.lostAnswers > 0
	if r.Status < http.StatusInternalServerError && isLost {
		a.change.lostAnswers--
	}
	if !isLost {
		a.after(time.Millisecond, func() { a.receive(r) })
	}
}

// arrive has the replica take in the change.
func (a *submission) arrive() {
	if !a.isRunning() {
		return
	}
	x, s := a.change, a.host.replica.State()
	status := s.CheckConfig(x.base, x.revision, x.digest)
	answer := a.answer
	switch {
	case a.brokenRule == brokenLocalRejection && (status == replog.ConfigStaleBase || status == replog.ConfigRevisionTooLow):
		answer(api.Result{Status: http.StatusPreconditionFailed})
		return
	case a.brokenRule == brokenFormatFirst && x.invalid:
		answer(api.Result{Status: http.StatusBadRequest})
		return
	case a.brokenRule == brokenShortHistory && status == replog.ConfigAlreadyAccepted && x.revision < s.History[max(len(s.History)-2, 0)].Revision:
		answer(api.Result{Status: http.StatusPreconditionFailed})
		return
	case a.brokenRule == brokenWonProposal && status == replog.ConfigAcceptable:
		w := &wonProposal{submission: a, index: s.NextIndex}
		answer = w.answer
		a.after(time.Millisecond, w.watch)
	}
	a.host.handle(replica.ReplaceConfig{
		BaseRevision: x.base, Config: x.config, Deadline: a.now + requestTimeout, Request: a.host.answers.Add(answer),
	})
}

// wonProposal is brokenWonProposal: whatever is chosen at the next index counts as the change.
type wonProposal struct {
	*submission
	index    uint64
	answered bool
}

func (w *wonProposal) answer(r api.Result) {
	if !w.answered {
		w.answered = true
		w.submission.answer(r)
	}
}

func (w *wonProposal) watch() {
	if !w.isRunning() || w.answered {
		return
	}
	if now := w.host.replica.State(); now.NextIndex > w.index {
		w.answer(api.Result{Status: http.StatusOK})
	}
	w.after(time.Millisecond, w.watch)
}

// check notes a replica's answer to a change, whether the operator receives it or not.
func (o *operators) check(x *configChange, h *host, r api.Result) {
	switch {
	case r.Status == http.StatusOK:
		x.confirmed = true
		o.newest = max(o.newest, x.revision)
		for _, y := range o.changes {
			if y != x && y.base == x.base && y.confirmed {
				o.violate("upon revision %d two are confirmed, %d and %d", x.base, y.revision, x.revision)
			}
		}
	case r.Status < http.StatusInternalServerError:
		x.rejected = true
	}
	if x.confirmed && x.rejected {
		o.violate("revision %d upon %d is rejected by one and confirmed by one (replica %d answers %d: %s)", x.revision, x.base, h.i, r.Status, r.Message)
	}
}

// read reads the configuration at a replica.
func (o *operators) read(at int) {
	h, floor := o.hosts[at%len(o.hosts)], o.newest
	if !h.isUp {
		return
	}
	answer := func(r api.Result) { o.checkRead(h, floor, r) }
	if s := h.replica.State(); o.brokenRule == brokenLocalReads && s.Config != nil {
		answer(api.Result{Status: http.StatusOK, Revision: s.Revision, Body: s.Config})
		return
	}
	h.handle(replica.ReadConfig{Deadline: o.now + requestTimeout, Request: h.answers.Add(answer)})
}

// checkRead checks what a replica has read against the newest revision that was confirmed before.
func (o *operators) checkRead(h *host, floor uint64, r api.Result) {
	if r.Status >= http.StatusInternalServerError {
		return
	}
	o.reads++
	if r.Status == http.StatusNotFound && floor == 0 {
		return
	}
	if r.Revision < floor {
		o.violate("replica %d reads revision %d, and %d was confirmed before", h.i, r.Revision, floor)
	}
	for _, x := range o.changes {
		if x.revision == r.Revision && bytes.Equal(x.config, r.Body) {
			if x.rejected {
				o.violate("revision %d is read, and was rejected", r.Revision)
			}
			return
		}
	}
	o.violate("revision %d is read, and nobody has sent it", r.Revision)
}

// checkLog holds the answers against the log, as far as it is known anywhere. At the end all of it must be: a value that was chosen
// may be known for a while only to those that have accepted it.
func (o *operators) checkLog(atEnd bool) {
	s := o.replicaCluster.newestState()
	for _, x := range o.changes {
		switch accepted := s.WasAccepted(x.revision, x.digest); {
		case accepted && x.rejected:
			o.violate("revision %d upon %d was rejected, and is in the log", x.revision, x.base)
		case atEnd && !accepted && x.confirmed:
			o.violate("revision %d upon %d was confirmed, and is not in the log", x.revision, x.base)
		}
	}
}

// race has two to four operators send a change each upon one base under one revision, each to another replica.
func (o *operators) race() {
	base := o.newest
	if o.draw(3) == 0 { // as an operator knows it that has asked a replica long ago
		h := o.hosts[o.draw(len(o.hosts))]
		base = h.state.Revision
	}
	o.lastRevision = max(o.lastRevision, base) + 1 + uint64(o.draw(3))
	first := o.draw(len(o.hosts))
	if o.draw(12) == 0 {
		o.submitInvalid(base, o.lastRevision, first)
		return
	}
	for k := range 2 + o.draw(min(len(o.hosts), 4)-1) {
		lostAnswers := o.draw(3)
		x, err := newConfigChange(base, o.lastRevision, k)
		if err != nil {
			continue
		}
		x.lostAnswers = lostAnswers
		o.changes = append(o.changes, x)
		o.submit(x, first+k)
	}
}

// play plays the walk. What is wrong is in found.
func (o *operators) play() {
	o.run(time.Second)
	for range 45 {
		switch k := o.draw(8); {
		case k < 3:
			o.race()
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
	for _, x := range o.changes {
		if !x.answered {
			o.violate("revision %d upon %d has no definite answer 8 s after the last fault", x.revision, x.base)
		}
		for at := range o.hosts { // once more, at each
			if o.replicaCluster.newestState().WasAccepted(x.revision, x.digest) {
				x.lostAnswers = 0
				o.submit(x, at)
			}
		}
	}
	for at := range o.hosts {
		o.read(at)
	}
	o.run(3 * time.Second)
	o.checkLog(true)
}

// operatorWalk plays the walk of a seed, and returns it at its end.
func operatorWalk(seed int, broken string) *operators {
	draw := draws(seed)
	o := &operators{replicaCluster: newReplicaCluster(draw, 3+2*draw(2), 0, broken)}
	o.play()
	return o
}

// operatorRaces plays so many walks, and returns the first fault with its seed.
func operatorRaces(walks int, broken string) (violation string, seed int) {
	for seed := range walks {
		if violation := operatorWalk(seed, broken).violation; violation != "" {
			return violation, seed
		}
	}
	return "", walks
}
