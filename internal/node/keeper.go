package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/ballot"
	"notchhinge/internal/control/chain"
	"notchhinge/internal/control/declared"
	"notchhinge/internal/control/store"
	"notchhinge/internal/limits"
)

// keeper holds the state on its disk, votes and proposes.
type keeper struct {
	log     *slog.Logger
	self    chain.Member
	founder bool
	least   int // founders at the least
	call    func(ctx context.Context, to netip.AddrPort, kind uint8, body []byte) ([]byte, error)
	others  func() []netip.AddrPort // keepers that are known, oneself not among them
	changed func(*chain.State)      // told of every state that follows; it must not wait

	mu    sync.Mutex
	disk  *store.Store
	acc   ballot.Acceptor
	state chain.State
	dirty bool // the vote is not on the disk as it stands here
	shut  bool // a write has failed; the disk must be opened anew
	tried time.Time
	round uint64 // the highest seen
	life  uint64 // of this process, among proposers

	proposing chan struct{} // holds one token: whoever has it proposes
}

// openKeeper opens the disk.
func openKeeper(log *slog.Logger, dir, name, addr string, bootstrap bool, tolerate int) (*keeper, error) {
	var id uint64
	for id == 0 {
		id = rand.Uint64()
	}
	disk, kept, err := store.Open(dir, store.Identity{ID: id, Founder: bootstrap})
	if err != nil {
		return nil, err
	}
	k := &keeper{
		log: log, self: chain.Member{ID: kept.ID, Name: name, Addr: addr}, founder: kept.Founder, least: 2*tolerate + 1,
		disk: disk, state: kept.State, proposing: make(chan struct{}, 1), life: rand.Uint64(), changed: func(*chain.State) {},
	}
	k.proposing <- struct{}{}
	k.acc = ballot.Acceptor{Vote: kept.Vote, Chosen: disk.Place}
	k.follow()
	k.round = kept.Vote.Promised.Round
	log.Info("state read", "member", fmt.Sprintf("%016x", kept.ID), "founder", kept.Founder, "next_place", k.state.Next,
		"revision", k.state.Revision, "members", len(k.state.Members))
	return k, nil
}

// follow brings the acceptor up to the state. The lock is held, or nobody else is there yet.
func (k *keeper) follow() {
	k.acc.Next = k.state.Next
	if k.state.Next == 0 {
		k.acc.Voter = k.founder
	} else {
		k.acc.Voter = k.state.Member(k.self.ID) != nil
	}
}

// vote answers an Ask. An error is no answer: the disk did not take what it would have said.
func (k *keeper) vote(a ballot.Ask) (ballot.Answer, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.round = max(k.round, a.Number.Round)
	ans, write := k.acc.Handle(a)
	if write || k.dirty && ans.Verdict == ballot.Granted {
		k.dirty = true
		if err := k.write(func() error { return k.disk.Vote(k.acc.Vote) }); err != nil {
			return ballot.Answer{}, err
		}
		k.dirty = false
	}
	return ans, nil
}

var errDisk = errors.New("the disk does not take what is written")

// write writes to the disk. After a write that failed the disk is opened anew, at most a few times a second, and all that
// stands here is written to it first: what was chosen meanwhile, and the vote. The lock is held.
func (k *keeper) write(f func() error) error {
	if k.shut {
		if time.Since(k.tried) < limits.NodeReopen {
			return errDisk
		}
		k.tried = time.Now()
		err := k.disk.Reopen()
		if err == nil {
			err = k.disk.Whole(&k.state)
		}
		if err == nil {
			err = k.disk.Vote(k.acc.Vote)
		}
		if err != nil {
			k.log.Error("the disk is still not usable", "err", err)
			return errDisk
		}
		k.shut = false
		k.log.Info("the disk is usable again", "next_place", k.state.Next)
	}
	if err := f(); err != nil {
		k.shut, k.tried = true, time.Now()
		k.log.Error("the disk refuses a write; this keeper has no vote until it is opened anew", "err", err)
		return errDisk
	}
	return nil
}

// learn takes the value that was chosen for a place, if that is the next.
func (k *keeper) learn(place uint64, value []byte) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if place != k.state.Next {
		return place < k.state.Next
	}
	k.state.Apply(value)
	k.follow()
	// Should this fail, it is chosen all the same, and is written with the next write that does not.
	k.write(func() error { return k.disk.Chose(value, &k.state) })
	s := k.state
	k.changed(&s)
	return true
}

// replace takes another's state, if it has come further.
func (k *keeper) replace(s *chain.State) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Next <= k.state.Next {
		return false
	}
	if k.write(func() error { return k.disk.Whole(s) }) != nil {
		return false
	}
	k.state = *s
	k.follow()
	c := k.state
	k.changed(&c)
	return true
}

// at returns the state as it is.
func (k *keeper) at() chain.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state
}

// member tells whether this keeper has a vote.
func (k *keeper) member() bool {
	s := k.at()
	return s.Member(k.self.ID) != nil
}

func (k *keeper) identity() identity {
	k.mu.Lock()
	defer k.mu.Unlock()
	return identity{k.self, k.state.Next, k.founder}
}

// catchUp takes the state of another that has come further.
func (k *keeper) catchUp(ctx context.Context, from netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, 2*limits.NodeAsk)
	defer cancel()
	b, err := k.call(ctx, from, callState, encodePlace(k.at().Next, nil))
	if err != nil || len(b) == 0 {
		return err
	}
	s, err := chain.DecodeState(b)
	if err != nil {
		return err
	}
	if k.replace(s) {
		k.log.Info("caught up", "from", from.String(), "next_place", s.Next, "revision", s.Revision)
	}
	return nil
}

var (
	errNoCore = errors.New("no core has been founded yet")
	errTime   = errors.New("it could not be settled in time")
	errHeld   = errors.New("the members must not accept it at present")
)

// propose has entries chosen until next says that it is done. next is given the newest state that is known here and
// returns the value that it wants for the next place, or nil.
func (k *keeper) propose(ctx context.Context, next func(*chain.State) []byte) error {
	select {
	case <-k.proposing:
		defer func() { k.proposing <- struct{}{} }()
	case <-ctx.Done():
		return errTime
	}
	for try := 0; ctx.Err() == nil; try++ {
		s := k.at()
		if s.Next == 0 {
			return errNoCore
		}
		own := next(&s)
		if own == nil {
			return nil
		}
		r := &ballot.Round{Place: s.Next, Own: own, Need: ballot.Majority(len(s.Members))}
		for _, m := range s.Members {
			r.Members = append(r.Members, m.ID)
		}
		out := k.attempt(ctx, r, s.Members, try)                   // next sees in the state what has come of it
		if out == ballot.Held && r.Accepted == (ballot.Number{}) { // its own; another's that it has found may pass elsewhere
			return errHeld
		}
		if ctx.Err() != nil {
			k.log.Warn("a place is not settled in time", "place", r.Place, "tries", try+1, "outcome", int(out), "number", r.Number.Round,
				"higher", r.Higher.Round, "accepting", r.Accepting(), "behind", len(r.BehindAt))
		}
	}
	return errTime
}

// attempt makes one attempt at a place, and does what follows from how it went.
func (k *keeper) attempt(ctx context.Context, r *ballot.Round, members []chain.Member, try int) ballot.Outcome {
	k.mu.Lock()
	k.round++
	r.Number = ballot.Number{Round: k.round, Node: k.life}
	k.mu.Unlock()
	out, from := k.run(ctx, r, members)
	switch out {
	case ballot.Chosen:
		k.learn(r.Place, r.Value)
		k.tell(r, members)
	case ballot.Past:
		if r.Value == nil || !k.learn(r.Place, r.Value) || r.Next > r.Place+1 {
			k.catchUp(ctx, from)
		}
	case ballot.Overtaken:
		k.mu.Lock()
		k.round = max(k.round, r.Higher.Round)
		k.mu.Unlock()
		pause(ctx, ballot.Wait(rand.Int64N, try))
	case ballot.Lost, ballot.Held:
		for _, id := range r.BehindAt { // they lack what was chosen before: it was told, and did not reach them
			k.bring(id, members)
		}
		pause(ctx, 20*time.Millisecond+time.Duration(rand.Int64N(int64(40*time.Millisecond))))
	}
	return out
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// reply is a member's answer, or that there is none.
type reply struct {
	from      chain.Member
	accepting bool
	answer    ballot.Answer
	err       error
}

// run turns a round until its outcome; from is who said that the place is past.
func (k *keeper) run(ctx context.Context, r *ballot.Round, members []chain.Member) (ballot.Outcome, netip.AddrPort) {
	replies := make(chan reply, 2*len(members)) // each member answers each phase once at the most
	send := func(a ballot.Ask) {
		accepting := a.Kind == ballot.Accept
		for _, m := range members {
			go func() {
				ans, err := k.ask(ctx, m, a)
				replies <- reply{m, accepting, ans, err}
			}()
		}
	}
	send(r.Begin())
	for {
		var x reply
		select {
		case x = <-replies:
		case <-ctx.Done():
			return ballot.Lost, netip.AddrPort{}
		}
		var next *ballot.Ask
		var out ballot.Outcome
		if x.err != nil {
			out = r.Fail(x.from.ID, x.accepting)
		} else {
			next, out = r.Take(x.from.ID, x.accepting, x.answer)
		}
		if next != nil {
			send(*next)
		}
		if out != ballot.Pending {
			from, _ := netip.ParseAddrPort(x.from.Addr)
			return out, from
		}
	}
}

// ask asks one member.
func (k *keeper) ask(ctx context.Context, m chain.Member, a ballot.Ask) (ballot.Answer, error) {
	if m.ID == k.self.ID {
		return k.vote(a)
	}
	to, err := netip.ParseAddrPort(m.Addr)
	if err != nil {
		return ballot.Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, limits.NodeAsk)
	defer cancel()
	b, err := k.call(ctx, to, callAsk, encodeAsk(&a))
	if err != nil {
		return ballot.Answer{}, err
	}
	return decodeAnswer(b)
}

// tell tells the members what was chosen: those that have accepted it under which number, the others the value, which may be
// large. Who does not hear it finds out.
func (k *keeper) tell(r *ballot.Round, members []chain.Member) {
	named, whole := encodeChosen(r.Place, r.Number), encodePlace(r.Place, r.Value)
	for _, m := range members {
		to, err := netip.ParseAddrPort(m.Addr)
		if m.ID == k.self.ID || err != nil {
			continue
		}
		kind, b := callLearn, whole
		if r.Granted(m.ID) {
			kind, b = callChosen, named
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), limits.NodeAsk)
			defer cancel()
			k.call(ctx, to, kind, b)
		}()
	}
}

// chosen does callChosen.
func (k *keeper) chosen(from netip.Addr, place uint64, n ballot.Number) {
	var value []byte
	k.mu.Lock()
	if v := &k.acc.Vote; v.Place == place && v.Accepted == n {
		value = v.Value
	}
	known := place < k.state.Next
	k.mu.Unlock()
	if known {
		return
	}
	k.told(from, place, value)
}

// bring brings a member up that is behind: it is told where the state is, and takes it.
func (k *keeper) bring(id uint64, members []chain.Member) {
	for _, m := range members {
		if to, err := netip.ParseAddrPort(m.Addr); err == nil && m.ID == id && id != k.self.ID {
			s := k.at()
			ctx, cancel := context.WithTimeout(context.Background(), limits.NodeAsk)
			k.call(ctx, to, callLearn, encodePlace(s.Next, nil))
			cancel()
		}
	}
}

// told does callLearn: a value for the next place, or only word that there is more.
func (k *keeper) told(from netip.Addr, place uint64, value []byte) {
	if len(value) > 0 && k.learn(place, value) {
		return
	}
	for _, to := range k.others() {
		if to.Addr() == from {
			k.catchUp(context.Background(), to)
			return
		}
	}
}

// settle makes sure that the state here is no older than anything that was acknowledged before it was called.
func (k *keeper) settle(ctx context.Context) error {
	for ctx.Err() == nil {
		s := k.at()
		if s.Next == 0 {
			return errNoCore
		}
		type known struct {
			reply
			addr netip.AddrPort
		}
		replies := make(chan known, len(s.Members))
		for _, m := range s.Members {
			go func() {
				ans, err := k.ask(ctx, m, ballot.Ask{Kind: ballot.Query})
				to, _ := netip.ParseAddrPort(m.Addr)
				replies <- known{reply{from: m, answer: ans, err: err}, to}
			}()
		}
		good, open := 0, false
		next := s.Next
		var best netip.AddrPort
		for n := 0; n < len(s.Members) && good < ballot.Majority(len(s.Members)); n++ {
			x := <-replies // every ask ends in its time
			if x.err != nil {
				continue
			}
			good++
			if x.answer.Next > next {
				next, best, open = x.answer.Next, x.addr, false
			}
			open = open || x.answer.Next == next && x.answer.Accepted != (ballot.Number{})
		}
		switch {
		case good < ballot.Majority(len(s.Members)):
			pause(ctx, 50*time.Millisecond)
		case next > s.Next:
			if k.catchUp(ctx, best) != nil {
				pause(ctx, 20*time.Millisecond)
			}
		case open:
			// Something was accepted for the place that is open, and may have been chosen: it is brought to its end.
			nothing := (&chain.Entry{Kind: chain.Nothing, Nonce: rand.Uint64()}).Encode()
			return k.propose(ctx, func(now *chain.State) []byte {
				if now.Next > s.Next {
					return nil
				}
				return nothing
			})
		default:
			return nil
		}
	}
	return errTime
}

// put does the operator's Replace.
func (k *keeper) put(ctx context.Context, on uint64, text []byte) (res api.Result) {
	c, digest, err := declared.Decode(text)
	if err == nil {
		err = c.Check()
	}
	if err != nil {
		return api.Result{Status: http.StatusBadRequest, Says: err.Error()}
	}
	entry := chain.Entry{Kind: chain.Config, Nonce: rand.Uint64(), On: on, Text: text}
	value := entry.Encode()
	if s := k.at(); s.Next > 0 && s.Revision < on && !s.Was(c.Revision, digest) {
		if err := k.settle(ctx); err != nil { // the operator knows more than is known here
			return api.Result{Status: http.StatusServiceUnavailable, Says: err.Error()}
		}
	}
	err = k.propose(ctx, func(s *chain.State) []byte {
		switch s.Stands(on, c.Revision, digest) {
		case chain.Open:
			return value
		case chain.Was:
			res = api.Result{Status: http.StatusOK, Rev: c.Revision}
		case chain.Late:
			res = api.Result{Status: http.StatusPreconditionFailed, Rev: s.Revision,
				Says: fmt.Sprintf("X-Revision-Match: version %d is current, not %d", s.Revision, on)}
		case chain.Low:
			res = api.Result{Status: http.StatusBadRequest,
				Says: fmt.Sprintf("revision: %d is not above the current one, %d", c.Revision, s.Revision)}
		}
		return nil
	})
	if err != nil {
		return api.Result{Status: http.StatusServiceUnavailable, Says: err.Error()}
	}
	return res
}

// get does the operator's Describe.
func (k *keeper) get(ctx context.Context) api.Result {
	if err := k.settle(ctx); err != nil {
		return api.Result{Status: http.StatusServiceUnavailable, Says: err.Error()}
	}
	s := k.at()
	if s.Text == nil {
		return api.Result{Status: http.StatusNotFound, Says: "there is no configuration yet"}
	}
	return api.Result{Status: http.StatusOK, Rev: s.Revision, Body: s.Text}
}

// history lists the configurations that were taken, the newest last, as JSON. Their texts are not kept.
func (k *keeper) history(ctx context.Context) api.Result {
	if err := k.settle(ctx); err != nil {
		return api.Result{Status: http.StatusServiceUnavailable, Says: err.Error()}
	}
	s := k.at()
	type taken struct {
		Revision uint64 `json:"revision"`
		Digest   string `json:"digest"`
	}
	all := []taken{}
	for _, h := range s.History {
		all = append(all, taken{h.Revision, fmt.Sprintf("%x", h.Digest[:8])})
	}
	b, err := json.Marshal(all)
	if err != nil {
		return api.Result{Status: http.StatusInternalServerError, Says: err.Error()}
	}
	return api.Result{Status: http.StatusOK, Rev: s.Revision, Body: b}
}

// tend founds the core at the first start, and looks now and then whether others have come further.
func (k *keeper) tend(ctx context.Context) {
	var stable time.Time
	known := 0
	began := time.Now()
	for ctx.Err() == nil {
		if k.at().Next > 0 || !k.founder {
			wait := limits.NodeCatchUp
			if k.at().Next == 0 {
				wait = limits.NodeFounding
			}
			outside := false
			if s := k.at(); s.Next > 0 && s.Member(k.self.ID) == nil {
				outside, wait = true, limits.NodeJoin
			}
			pause(ctx, wait)
			if all := k.others(); len(all) > 0 {
				to := all[rand.IntN(len(all))]
				if i, err := k.who(ctx, to); err == nil && i.next > k.at().Next {
					k.catchUp(ctx, to)
				}
				if outside {
					k.join(ctx, to)
				}
			}
			continue
		}
		pause(ctx, limits.NodeFounding)
		founders := []chain.Member{k.self}
		for _, to := range k.others() {
			i, err := k.who(ctx, to)
			switch {
			case err != nil:
			case i.next > 0:
				k.catchUp(ctx, to)
			case i.founder:
				founders = append(founders, i.Member)
			}
		}
		if len(founders) != known {
			known, stable = len(founders), time.Now()
		}
		slices.SortFunc(founders, func(x, y chain.Member) int { return bytes.Compare([]byte(x.Name), []byte(y.Name)) })
		first := founders[0].ID == k.self.ID || time.Since(began) > 3*time.Second
		if len(founders) < k.least || time.Since(stable) < limits.NodeStable || !first || k.at().Next > 0 {
			continue
		}
		k.found(ctx, founders)
	}
}

// found has the founders agree that they are. All of them must accept, so that no other set can be founded: two sets of
// 2f+1 share a founder as long as there are fewer than 4f+2.
func (k *keeper) found(ctx context.Context, founders []chain.Member) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	for try := 0; ctx.Err() == nil && k.at().Next == 0; try++ {
		own := (&chain.Entry{Kind: chain.Members, Nonce: rand.Uint64(), Members: founders}).Encode()
		r := &ballot.Round{Place: 0, Own: own, Need: len(founders)}
		for _, m := range founders {
			r.Members = append(r.Members, m.ID)
		}
		// What one of them has accepted before may be of another set, whose members must then all accept it.
		r.Fits = func(value []byte) bool {
			e, err := chain.Decode(value)
			return err == nil && slices.Equal(e.Members, founders)
		}
		out := k.attempt(ctx, r, founders, try)
		if out == ballot.Chosen {
			k.log.Info("the core is founded", "members", len(founders))
			return
		}
		if out != ballot.Unfit {
			continue
		}
		if e, err := chain.Decode(r.Value); err == nil && e.Kind == chain.Members && !slices.Equal(e.Members, founders) {
			founders = e.Members
		}
	}
}

// join asks a keeper to have this one taken in as a member. What it was before, with another disk, it is no more.
func (k *keeper) join(ctx context.Context, to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, limits.NodeSettle)
	defer cancel()
	i := k.identity()
	if _, err := k.call(ctx, to, callJoin, i.encode()); err != nil {
		k.log.Info("not taken in as a member yet", "by", to.String(), "err", err)
	}
}

var errBehind = errors.New("it has not caught up")

// admit has a keeper taken in, in the place of the one of its name whose disk is gone, or as a further one. Who asks has
// caught up, so that a majority does not come to depend on who knows nothing.
func (k *keeper) admit(ctx context.Context, i identity) error {
	if s := k.at(); s.Member(k.self.ID) == nil || i.next < s.Next {
		return errBehind
	}
	return k.propose(ctx, func(s *chain.State) []byte {
		if s.Member(i.ID) != nil || i.ID == 0 || len(s.Members) > limits.NodeMembers {
			return nil
		}
		e := &chain.Entry{Kind: chain.Members, Nonce: rand.Uint64(), Members: slices.Clone(s.Members)}
		at := slices.IndexFunc(e.Members, func(m chain.Member) bool { return m.Name == i.Name })
		if at >= 0 {
			e.Members[at] = i.Member
		} else {
			e.Members = append(e.Members, i.Member)
		}
		k.log.Info("taking a member in", "name", i.Name, "member", fmt.Sprintf("%016x", i.ID), "instead_of_its_former_disk", at >= 0)
		return e.Encode()
	})
}

// dismiss takes members of a name out that are gone for good, so that a majority need not be made up of who will never
// answer. Those that are left must still be as many as the losses that are to be borne want. Who runs is taken in again.
func (k *keeper) dismiss(ctx context.Context, name string) (res api.Result) {
	if !k.member() {
		return api.Result{Status: http.StatusServiceUnavailable, Says: "this keeper is no member itself"}
	}
	if err := k.settle(ctx); err != nil {
		return api.Result{Status: http.StatusServiceUnavailable, Says: err.Error()}
	}
	done := false
	err := k.propose(ctx, func(s *chain.State) []byte {
		e := &chain.Entry{Kind: chain.Members, Nonce: rand.Uint64()}
		for _, m := range s.Members {
			if m.Name != name {
				e.Members = append(e.Members, m)
			}
		}
		switch {
		case len(e.Members) == len(s.Members) && done:
			res = api.Result{Status: http.StatusOK, Rev: s.Revision}
		case len(e.Members) == len(s.Members):
			res = api.Result{Status: http.StatusNotFound, Says: fmt.Sprintf("no member is named %q", name)}
		case len(e.Members) < k.least:
			res = api.Result{Status: http.StatusConflict, Says: fmt.Sprintf("%d members would be left; %d are wanted", len(e.Members), k.least)}
		default:
			done = true
			k.log.Info("taking a member out", "name", name, "left", len(e.Members))
			return e.Encode()
		}
		return nil
	})
	if err != nil {
		return api.Result{Status: http.StatusServiceUnavailable, Says: err.Error()}
	}
	return res
}

// who asks a keeper who it is.
func (k *keeper) who(ctx context.Context, to netip.AddrPort) (identity, error) {
	ctx, cancel := context.WithTimeout(ctx, limits.NodeAsk)
	defer cancel()
	b, err := k.call(ctx, to, callIdentity, nil)
	if err != nil {
		return identity{}, err
	}
	return decodeIdentity(b)
}
