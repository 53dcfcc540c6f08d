package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/storage"
	"notchhinge/internal/limits"
)

var (
	errDiskBusy  = errors.New("replica waits for its disk")
	errEnding    = errors.New("replica is shutting down")
	errNoReplica = errors.New("no replica here")
)

// peerCall makes a call to another process.
type peerCall func(ctx context.Context, to netip.AddrPort, kind rpc.Kind, body []byte) ([]byte, error)

// replicaHost owns the process's replica.Replica: its lock, its disk, its clock and timer, and the calls that it makes.
type replicaHost struct {
	ctx            context.Context // of the process: calls that effects ask for end with it
	log            *slog.Logger
	self           replog.Member
	isFounder      bool
	clock          func() time.Duration // monotonic
	call           peerCall
	peers          func() []netip.AddrPort // known replicas, this one not among them
	onStateChanged func(*replog.State)     // gets every new state, with mu held; it must not wait

	mu         contextMutex
	reducer    *replica.Replica
	disk       *storage.Store
	diskFailed bool          // a write has failed; the disk must be reopened
	diskClosed bool          // the process ends
	reopenedAt time.Time     // the last attempt to reopen the disk, or the failure
	timerAt    time.Duration // by clock, what run's timer is set to

	// Who waits for the effects that answer events. The channels have room for one value.
	calls     replica.Pending[chan callResult]
	answers   replica.Pending[chan api.Result]
	proposals replica.Pending[chan error]
	leaves    replica.Pending[chan struct{}]

	wake chan struct{} // has run set its timer anew
	done chan struct{} // closed when run has returned: timers and time-outs come no more
}

// contextMutex is a lock whose wait can be given up. A replica does nothing else while its disk takes a write, and a caller
// that has timed out meanwhile must not queue with a configuration in memory for as long as a stalled disk takes.
type contextMutex chan struct{}

// Lock waits for the lock.
func (m contextMutex) Lock() { m <- struct{}{} }

// Unlock frees the lock.
func (m contextMutex) Unlock() { <-m }

// LockContext waits for the lock until ctx is done, and tells whether it got it.
func (m contextMutex) LockContext(ctx context.Context) bool {
	select {
	case m <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// replicaOptions are what a replica of this process is made of.
type replicaOptions struct {
	log           *slog.Logger
	dataDir       string
	name          string // of this machine
	addr          string // where this process takes peers' calls
	bootstrap     bool   // it is the fleet's first start: an empty disk may found it
	machineFaults int    // machines that may be lost at once
	call          peerCall
	peers         func() []netip.AddrPort // known replicas, this one not among them
}

// openReplica opens the disk, makes a new identity if it is empty, and reads the state.
func openReplica(ctx context.Context, o replicaOptions) (*replicaHost, error) {
	var id uint64
	for id == 0 {
		id = rand.Uint64()
	}
	disk, recovered, err := storage.Open(o.dataDir, storage.Identity{ID: id, IsFounder: o.bootstrap})
	if err != nil {
		return nil, err
	}
	start := time.Now()
	h := &replicaHost{
		ctx: ctx, log: o.log, self: replog.Member{ID: recovered.ID, Name: o.name, Addr: o.addr}, isFounder: recovered.IsFounder,
		clock: func() time.Duration { return time.Since(start) + time.Hour }, call: o.call, peers: o.peers, onStateChanged: func(*replog.State) {},
		mu: make(contextMutex, 1), disk: disk, wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	h.reducer = replica.New(replica.Config{
		Self: h.self, IsFounder: recovered.IsFounder, MinVoters: 2*o.machineFaults + 1, Incarnation: rand.Uint64(), Seed: rand.Uint64(),
		State: recovered.State, Acceptor: recovered.Acceptor, Peers: o.peers, ChosenValue: disk.ChosenValue,
	})
	o.log.Info("storage opened", "member", fmt.Sprintf("%016x", recovered.ID), "founder", recovered.IsFounder,
		"next_index", recovered.State.NextIndex, "revision", recovered.State.Revision, "members", len(recovered.State.Members))
	return h, nil
}

// close closes the disk. Later writes fail.
func (h *replicaHost) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.diskClosed = true
	if err := h.disk.Close(); err != nil {
		h.log.Error("storage close failed", "err", err)
	}
}

// callResult is the answer to a peer's call.
type callResult struct {
	body []byte
	err  error
}

// step reduces an event and carries out the effects.
func (h *replicaHost) step(e replica.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stepLocked(e)
}

// request makes an event with the lock held, so that a RequestID can be chosen for it, and steps it.
func (h *replicaHost) request(event func() replica.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stepLocked(event())
}

// requestContext is request, unless ctx is done before the lock is free. It tells whether the event was reduced.
func (h *replicaHost) requestContext(ctx context.Context, event func() replica.Event) bool {
	if !h.mu.LockContext(ctx) {
		return false
	}
	defer h.mu.Unlock()
	h.stepLocked(event())
	return true
}

// deliver sends a value to whoever waits for the answer to a request. The lock is held.
func deliver[T any](waiting *replica.Pending[chan T], id replica.RequestID, value T) {
	if to, ok := waiting.Take(id); ok {
		to <- value
	}
}

// stepLocked is step with the lock held.
func (h *replicaHost) stepLocked(e replica.Event) {
	now := h.clock()
	effects := append([]replica.Effect(nil), h.reducer.Reduce(now, e)...)
	for ; len(effects) > 0; effects = effects[1:] {
		if w, ok := effects[0].(replica.Write); ok {
			durable := h.persist(&w) == nil
			effects = append(effects, h.reducer.Reduce(now, replica.WriteDone{ID: w.ID, Durable: durable})...)
			continue
		}
		h.perform(effects[0])
	}
	if next, ok := h.reducer.NextTimer(); ok && next < h.timerAt {
		select {
		case h.wake <- struct{}{}:
		default:
		}
	}
}

// perform carries out an effect other than a write. It does not wait: each channel has room for its one answer.
func (h *replicaHost) perform(e replica.Effect) {
	switch e := e.(type) {
	case replica.SendCall:
		go h.sendCall(h.ctx, e)
	case replica.SendReply:
		deliver(&h.calls, e.Request, callResult{e.Body, e.Err})
	case replica.OperatorAnswer:
		deliver(&h.answers, e.Request, e.Result)
	case replica.ProposeDone:
		deliver(&h.proposals, e.Request, e.Err)
	case replica.LeaveDone:
		deliver(&h.leaves, e.Request, struct{}{})
	case replica.StateChanged:
		h.onStateChanged(&e.State)
	case replica.Log:
		h.log.Log(h.ctx, e.Level, e.Message, e.Args...)
	}
}

// sendCall makes a call to a peer and reports its outcome to the reducer.
func (h *replicaHost) sendCall(ctx context.Context, e replica.SendCall) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	body, err := h.call(ctx, e.To, e.Kind, e.Body)
	h.step(replica.CallReturned{ID: e.ID, Body: body, Err: err})
}

// run is the replica's timer, until ctx is done.
func (h *replicaHost) run(ctx context.Context) {
	defer close(h.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		h.mu.Lock()
		h.timerAt = h.clock() + time.Minute
		if next, ok := h.reducer.NextTimer(); ok {
			h.timerAt = min(h.timerAt, next)
		}
		timer.Reset(max(h.timerAt-h.clock(), time.Millisecond))
		h.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
			continue
		case <-timer.C:
		}
		h.step(replica.Tick{})
	}
}

// state is the replicated state as far as it is known here.
func (h *replicaHost) state() replog.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reducer.State()
}

// membershipPending tells whether a change of members was accepted here that may have been chosen.
func (h *replicaHost) membershipPending() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reducer.MembershipPending()
}

// handOver has the replica hand over its vote to the members that stay, and returns when it has, or when ctx is done.
func (h *replicaHost) handOver(ctx context.Context) {
	left := make(chan struct{}, 1)
	h.request(func() replica.Event { return replica.Leave{Request: h.leaves.Add(left), Deadline: h.deadline(ctx)} })
	select {
	case <-left:
	case <-ctx.Done():
	}
}

// deadline is ctx's deadline by the replica's clock.
func (h *replicaHost) deadline(ctx context.Context) time.Duration {
	if at, ok := ctx.Deadline(); ok {
		return h.clock() + time.Until(at)
	}
	return h.clock() + limits.OperatorCallTimeout
}

// handleCall answers a peer's call. A call that waits for the lock for longer than its caller waits for the answer is
// dropped: newer ones have come meanwhile, and by these a replica that lags takes a snapshot, not one entry after another.
func (h *replicaHost) handleCall(ctx context.Context, kind rpc.Kind, from netip.Addr, body []byte) ([]byte, error) {
	answer := make(chan callResult, 1)
	wait, cancel := context.WithTimeout(ctx, rpc.Lookup(kind).Timeout)
	defer cancel()
	if !h.requestContext(wait, func() replica.Event {
		return replica.CallReceived{Kind: kind, Body: body, From: from, Request: h.calls.Add(answer)}
	}) {
		return nil, errDiskBusy
	}
	select {
	case r := <-answer:
		return r.body, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// operatorEvent makes the event of an operator's call, with its deadline by the replica's clock.
type operatorEvent func(id replica.RequestID, deadline time.Duration) replica.Event

// operate has an operator's call answered.
func (h *replicaHost) operate(ctx context.Context, event operatorEvent) api.Result {
	answer := make(chan api.Result, 1)
	deadline := h.deadline(ctx)
	wait, cancel := context.WithTimeout(ctx, deadline-h.clock())
	defer cancel()
	if !h.requestContext(wait, func() replica.Event { return event(h.answers.Add(answer), deadline) }) {
		return unavailable(errDiskBusy)
	}
	select {
	case r := <-answer:
		return r
	case <-h.done:
		return unavailable(errEnding)
	}
}

// unavailable is the answer to an operator whose call may be repeated elsewhere or later.
func unavailable(err error) api.Result {
	return api.Result{Status: api.StatusUnavailable, Message: err.Error()}
}

// propose has entries chosen until next returns none. Between the call and its return next belongs to the replica.
func (h *replicaHost) propose(ctx context.Context, next func(*replog.State) []byte) error {
	result := make(chan error, 1)
	h.request(func() replica.Event {
		return replica.Propose{Next: next, Request: h.proposals.Add(result), Deadline: h.deadline(ctx)}
	})
	select {
	case err := <-result:
		return err
	case <-h.done:
		return replica.ErrQuorumUnavailable
	}
}
