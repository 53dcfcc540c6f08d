package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/storage"
	"notchhinge/internal/limits"
)

// replicaHost is the process's replica.Replica under one lock, with its disk, its clock and its calls.
type replicaHost struct {
	log            *slog.Logger
	self           replog.Member
	isFounder      bool
	clock          func() time.Duration // steady
	call           func(ctx context.Context, to netip.AddrPort, kind uint8, body []byte) ([]byte, error)
	peers          func() []netip.AddrPort // keepers that are known, oneself not among them
	onStateChanged func(*replog.State)     // told of every state that follows; it must not wait

	mu         contextMutex
	reducer    *replica.Replica
	disk       *storage.Store
	diskFailed bool // a write has failed; the disk must be opened anew
	diskClosed bool // it is closed for good
	reopenedAt time.Time
	wake       chan struct{}
	timerAt    time.Duration // the timer is set to it
	done       chan struct{} // closed once nobody turns it any more

	// Who waits for the effects that answer events. The channels have room for one value.
	calls     replica.Pending[chan callResult]
	answers   replica.Pending[chan api.Result]
	proposals replica.Pending[chan error]
	leaves    replica.Pending[chan struct{}]
}

// contextMutex is a lock that can be waited for until a time: a keeper does nothing else while its disk takes what is written, and
// who has called meanwhile and waits no more, with a configuration in its hands, is not to stand there for as long as that takes.
type contextMutex chan struct{}

func (t contextMutex) Lock() { t <- struct{}{} }

func (t contextMutex) Unlock() { <-t }

// LockContext tells whether it could be locked before the context was over.
func (t contextMutex) LockContext(ctx context.Context) bool {
	select {
	case t <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// openReplica opens the disk.
func openReplica(log *slog.Logger, dir, name, addr string, bootstrap bool, tolerate int) (*replicaHost, error) {
	var id uint64
	for id == 0 {
		id = rand.Uint64()
	}
	disk, kept, err := storage.Open(dir, storage.Identity{ID: id, IsFounder: bootstrap})
	if err != nil {
		return nil, err
	}
	start := time.Now()
	k := &replicaHost{
		log: log, self: replog.Member{ID: kept.ID, Name: name, Addr: addr}, isFounder: kept.IsFounder, disk: disk,
		clock: func() time.Duration { return time.Since(start) + time.Hour }, onStateChanged: func(*replog.State) {},
		mu: make(contextMutex, 1), wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	k.reducer = replica.New(replica.Config{
		Self: k.self, IsFounder: kept.IsFounder, MinVoters: 2*tolerate + 1, Incarnation: rand.Uint64(), Seed: rand.Uint64(), State: kept.State, Acceptor: kept.Acceptor,
		Peers: func() []netip.AddrPort { return k.peers() }, ChosenValue: disk.ChosenValue,
	})
	log.Info("state read", "member", fmt.Sprintf("%016x", kept.ID), "founder", kept.IsFounder, "next_place", kept.State.NextIndex,
		"revision", kept.State.Revision, "members", len(kept.State.Members))
	return k, nil
}

// close closes the disk for good.
func (k *replicaHost) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.diskClosed = true
	k.disk.Close()
}

// callResult is what comes back to who has called.
type callResult struct {
	body []byte
	err  error
}

// step reduces an event and does what follows.
func (k *replicaHost) step(e replica.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stepLocked(e)
}

// request makes an event with the lock held, so that a RequestID can be chosen for it, and reduces it.
func (k *replicaHost) request(event func() replica.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stepLocked(event())
}

// requestContext is request, unless the context is over before the lock is free.
func (k *replicaHost) requestContext(ctx context.Context, event func() replica.Event) bool {
	if !k.mu.LockContext(ctx) {
		return false
	}
	defer k.mu.Unlock()
	k.stepLocked(event())
	return true
}

// deliver sends a value to whoever waits for the answer to a request. The lock is held.
func deliver[T any](waiting *replica.Pending[chan T], id replica.RequestID, value T) {
	if to, ok := waiting.Take(id); ok {
		to <- value
	}
}

// stepLocked is turn once the lock is held.
func (k *replicaHost) stepLocked(e replica.Event) {
	now := k.clock()
	effects := append([]replica.Effect(nil), k.reducer.Reduce(now, e)...)
	for ; len(effects) > 0; effects = effects[1:] {
		switch f := effects[0].(type) {
		case replica.Write:
			ok := k.persist(&f) == nil
			effects = append(effects, k.reducer.Reduce(now, replica.WriteDone{ID: f.ID, Durable: ok})...)
		case replica.SendCall:
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
				defer cancel()
				body, err := k.call(ctx, f.To, uint8(f.Kind), f.Body)
				k.step(replica.CallReturned{ID: f.ID, Body: body, Err: err})
			}()
		case replica.SendReply:
			deliver(&k.calls, f.Request, callResult{f.Body, f.Err})
		case replica.OperatorAnswer:
			deliver(&k.answers, f.Request, f.Result)
		case replica.ProposeDone:
			deliver(&k.proposals, f.Request, f.Err)
		case replica.LeaveDone:
			deliver(&k.leaves, f.Request, struct{}{})
		case replica.StateChanged:
			k.onStateChanged(&f.State)
		case replica.Log:
			k.log.Log(context.Background(), f.Level, f.Message, f.Args...)
		}
	}
	if next, ok := k.reducer.NextTimer(); ok && next < k.timerAt {
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
}

// run keeps time until the context is over.
func (k *replicaHost) run(ctx context.Context) {
	defer close(k.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		k.mu.Lock()
		k.timerAt = k.clock() + time.Minute
		if next, ok := k.reducer.NextTimer(); ok {
			k.timerAt = min(k.timerAt, next)
		}
		timer.Reset(max(k.timerAt-k.clock(), time.Millisecond))
		k.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
			continue
		case <-timer.C:
		}
		k.step(replica.Tick{})
	}
}

// state returns the state as it is.
func (k *replicaHost) state() replog.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reducer.State()
}

// membershipPending tells whether a change of members was accepted here that may have been chosen.
func (k *replicaHost) membershipPending() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reducer.MembershipPending()
}

// handOver hands over to those that stay, until a context is over at the latest.
func (k *replicaHost) handOver(ctx context.Context) {
	left := make(chan struct{}, 1)
	k.request(func() replica.Event { return replica.Leave{Request: k.leaves.Add(left), Deadline: k.deadline(ctx)} })
	select {
	case <-left:
	case <-ctx.Done():
	}
}

// deadline is a context's end by the keeper's clock.
func (k *replicaHost) deadline(ctx context.Context) time.Duration {
	if at, ok := ctx.Deadline(); ok {
		return k.clock() + time.Until(at)
	}
	return k.clock() + limits.OperatorCallTimeout
}

var errDiskBusy = errors.New("the disk takes its time")

// handleCall answers a call of another process. What its caller has given up meanwhile is not done: it was behind other work for so
// long that newer calls have come, and by these a keeper that has fallen behind takes a state, not one place after another.
func (k *replicaHost) handleCall(ctx context.Context, kind replica.CallKind, from netip.Addr, body []byte) ([]byte, error) {
	of := make(chan callResult, 1)
	wait, cancel := context.WithTimeout(ctx, replica.CallTimeout(kind))
	defer cancel()
	if !k.requestContext(wait, func() replica.Event {
		return replica.CallReceived{Kind: kind, Body: body, From: from, Request: k.calls.Add(of)}
	}) {
		return nil, errDiskBusy
	}
	select {
	case a := <-of:
		return a.body, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// operate has a call of the operator answered.
func (k *replicaHost) operate(ctx context.Context, event func(id replica.RequestID, deadline time.Duration) replica.Event) api.Result {
	of := make(chan api.Result, 1)
	until := k.deadline(ctx)
	wait, cancel := context.WithTimeout(ctx, until-k.clock())
	defer cancel()
	if !k.requestContext(wait, func() replica.Event { return event(k.answers.Add(of), until) }) {
		return api.Result{Status: http.StatusServiceUnavailable, Message: errDiskBusy.Error()}
	}
	select {
	case r := <-of:
		return r
	case <-k.done:
		return api.Result{Status: http.StatusServiceUnavailable, Message: "it is ending"}
	}
}

// propose has entries chosen until want says that it is done. What want keeps account of is the caller's again afterwards.
func (k *replicaHost) propose(ctx context.Context, want func(*replog.State) []byte) error {
	of := make(chan error, 1)
	k.request(func() replica.Event {
		return replica.Propose{Next: want, Request: k.proposals.Add(of), Deadline: k.deadline(ctx)}
	})
	select {
	case err := <-of:
		return err
	case <-k.done:
		return replica.ErrQuorumUnavailable
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
