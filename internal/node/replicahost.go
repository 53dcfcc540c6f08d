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
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/storage"
	"notchhinge/internal/limits"
)

var (
	errDiskBusy     = errors.New("replica waits for its disk")
	errShuttingDown = errors.New("replica is shutting down")
	errNoReplica    = errors.New("no replica here")
)

// peerCall makes a call to another process.
type peerCall func(ctx context.Context, to netip.AddrPort, kind rpc.Kind, body []byte) ([]byte, error)

// replicaHost runs the replica.Replica of the process: its lock, disk, clock, timer and outgoing calls.
type replicaHost struct {
	ctx            context.Context // of the process; bounds the calls that effects start
	log            *slog.Logger
	self           replog.Member
	isFounder      bool
	clock          func() time.Duration // monotonic
	call           peerCall
	peers          func() []netip.AddrPort // the other known replicas
	onStateChanged func(*replog.State)     // called with every new state, with mu held; must not block
	endpoints      []endpoints.Record      // draining and deregistered endpoints, as recovered from the disk

	mu         contextMutex
	reducer    *replica.Replica
	disk       *storage.Store
	diskFailed bool          // a write has failed; the disk must be reopened
	diskClosed bool          // close was called
	reopenedAt time.Time     // of the last attempt to reopen the disk, or of the failed write
	timerAt    time.Duration // by clock, when run's timer fires

	// Callers that wait for the effect that completes their request. Each channel is buffered for one value.
	pendingCalls         replica.Pending[chan callResult]
	pendingOperatorCalls replica.Pending[chan api.Result]
	pendingProposals     replica.Pending[chan error]
	pendingLeaves        replica.Pending[chan struct{}]

	wake chan struct{} // signals run to reset its timer
	done chan struct{} // closed when run has returned; without its ticks the reducer no longer enforces deadlines
}

// contextMutex is a mutex whose Lock can be abandoned. A replica holds its mutex during disk writes. Without a bound, callers
// that have already timed out would queue up, each with its request body in memory, for as long as a disk stalls.
type contextMutex chan struct{}

// Lock acquires the mutex.
func (m contextMutex) Lock() { m <- struct{}{} }

// Unlock releases the mutex.
func (m contextMutex) Unlock() { <-m }

// LockContext waits for the mutex until ctx is done, and reports whether it was acquired.
func (m contextMutex) LockContext(ctx context.Context) bool {
	select {
	case m <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// replicaOptions are the parameters of openReplica.
type replicaOptions struct {
	log           *slog.Logger
	dataDir       string
	name          string // of this machine
	addr          string // at which this process receives calls from peers
	bootstrap     bool   // first start of the fleet: a replica with an empty disk may become a founding member
	machineFaults int    // number of machines that may fail at the same time
	call          peerCall
	peers         func() []netip.AddrPort // the other known replicas
}

// openReplica opens the disk, creates an identity if the disk is empty, and loads the state.
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
		endpoints: recovered.Endpoints, mu: make(contextMutex, 1), disk: disk, wake: make(chan struct{}, 1), done: make(chan struct{}),
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

// callResult is the outcome of a call from a peer.
type callResult struct {
	body []byte
	err  error
}

// step passes an event to the reducer and performs the effects.
func (h *replicaHost) step(e replica.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stepLocked(e)
}

// request calls event with mu held, so that event can allocate a RequestID, and passes the result to the reducer.
func (h *replicaHost) request(event func() replica.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stepLocked(event())
}

// requestContext is request with a bounded wait for mu. It returns false, without calling event, if ctx is done first.
func (h *replicaHost) requestContext(ctx context.Context, event func() replica.Event) bool {
	if !h.mu.LockContext(ctx) {
		return false
	}
	defer h.mu.Unlock()
	h.stepLocked(event())
	return true
}

// deliver sends the outcome of a request to its waiting caller, if there still is one. The replica's mu is held.
func deliver[T any](pending *replica.Pending[chan T], id replica.RequestID, value T) {
	if to, ok := pending.Take(id); ok {
		to <- value
	}
}

// stepLocked is step with mu held.
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

// perform carries out an effect other than a write. It does not block: each channel is buffered for its one value.
func (h *replicaHost) perform(e replica.Effect) {
	switch e := e.(type) {
	case replica.SendCall:
		go h.sendCall(h.ctx, e)
	case replica.SendReply:
		deliver(&h.pendingCalls, e.Request, callResult{e.Body, e.Err})
	case replica.OperatorAnswer:
		deliver(&h.pendingOperatorCalls, e.Request, e.Result)
	case replica.ProposeDone:
		deliver(&h.pendingProposals, e.Request, e.Err)
	case replica.LeaveDone:
		deliver(&h.pendingLeaves, e.Request, struct{}{})
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

// run passes timer ticks to the reducer until ctx is done.
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

// state returns the replicated state up to the last log entry that this replica has applied.
func (h *replicaHost) state() replog.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reducer.State()
}

// membershipPending reports whether this replica has accepted a membership change whose outcome is not known yet.
func (h *replicaHost) membershipPending() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reducer.MembershipPending()
}

// handOverVote makes the replica hand over its vote and leave the voters, and returns when it has left or ctx is done.
func (h *replicaHost) handOverVote(ctx context.Context) {
	done := make(chan struct{}, 1)
	h.request(func() replica.Event {
		return replica.Leave{Request: h.pendingLeaves.Add(done), Deadline: h.deadline(ctx)}
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// deadline returns the deadline of ctx by h.clock, or limits.OperatorCallTimeout from now if ctx has none.
func (h *replicaHost) deadline(ctx context.Context) time.Duration {
	if at, ok := ctx.Deadline(); ok {
		return h.clock() + time.Until(at)
	}
	return h.clock() + limits.OperatorCallTimeout
}

// handleCall answers a call from a peer. A call that waits for mu longer than its caller waits for the answer is dropped:
// newer calls follow it, and they let a lagging replica catch up by a snapshot instead of entry by entry.
func (h *replicaHost) handleCall(ctx context.Context, kind rpc.Kind, from netip.Addr, body []byte) ([]byte, error) {
	result := make(chan callResult, 1)
	lockCtx, cancel := context.WithTimeout(ctx, rpc.Lookup(kind).Timeout)
	defer cancel()
	if !h.requestContext(lockCtx, func() replica.Event {
		return replica.CallReceived{Kind: kind, Body: body, From: from, Request: h.pendingCalls.Add(result)}
	}) {
		return nil, errDiskBusy
	}
	select {
	case r := <-result:
		return r.body, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// operatorEvent returns the event of an operator call. deadline is by the replica's clock.
type operatorEvent func(id replica.RequestID, deadline time.Duration) replica.Event

// handleOperatorCall passes an operator call to the reducer and returns its result. The reducer enforces the deadline of ctx.
func (h *replicaHost) handleOperatorCall(ctx context.Context, event operatorEvent) api.Result {
	result := make(chan api.Result, 1)
	deadline := h.deadline(ctx)
	lockCtx, cancel := context.WithTimeout(ctx, deadline-h.clock())
	defer cancel()
	if !h.requestContext(lockCtx, func() replica.Event { return event(h.pendingOperatorCalls.Add(result), deadline) }) {
		return unavailable(errDiskBusy)
	}
	select {
	case r := <-result:
		return r
	case <-h.done:
		return unavailable(errShuttingDown)
	}
}

// unavailable returns the result of an operator call that may be retried later or at another process.
func unavailable(err error) api.Result {
	return api.Result{Status: api.StatusUnavailable, Message: err.Error()}
}

// propose proposes the log entries that next returns, one after another, until it returns nil. Until propose returns, only
// the replica calls next.
func (h *replicaHost) propose(ctx context.Context, next func(*replog.State) []byte) error {
	result := make(chan error, 1)
	h.request(func() replica.Event {
		return replica.Propose{Next: next, Request: h.pendingProposals.Add(result), Deadline: h.deadline(ctx)}
	})
	select {
	case err := <-result:
		return err
	case <-h.done:
		return replica.ErrQuorumUnavailable
	}
}
