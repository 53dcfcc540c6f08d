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

// keeper is the process's core.Node under one lock, with its disk, its clock and its calls.
type keeper struct {
	log     *slog.Logger
	self    replog.Member
	founder bool
	clock   func() time.Duration // steady
	call    func(ctx context.Context, to netip.AddrPort, kind uint8, body []byte) ([]byte, error)
	others  func() []netip.AddrPort // keepers that are known, oneself not among them
	changed func(*replog.State)     // told of every state that follows; it must not wait

	mu    turnstile
	core  *replica.Replica
	disk  *storage.Store
	shut  bool // a write has failed; the disk must be opened anew
	ended bool // it is closed for good
	tried time.Time
	wake  chan struct{}
	until time.Duration // the timer is set to it
	over  chan struct{} // closed once nobody turns it any more
}

// turnstile is a lock that can be waited for until a time: a keeper does nothing else while its disk takes what is written, and
// who has called meanwhile and waits no more, with a configuration in its hands, is not to stand there for as long as that takes.
type turnstile chan struct{}

func (t turnstile) Lock() { t <- struct{}{} }

func (t turnstile) Unlock() { <-t }

// lockIn tells whether it could be locked before the context was over.
func (t turnstile) lockIn(ctx context.Context) bool {
	select {
	case t <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// openKeeper opens the disk.
func openKeeper(log *slog.Logger, dir, name, addr string, bootstrap bool, tolerate int) (*keeper, error) {
	var id uint64
	for id == 0 {
		id = rand.Uint64()
	}
	disk, kept, err := storage.Open(dir, storage.Identity{ID: id, IsFounder: bootstrap})
	if err != nil {
		return nil, err
	}
	start := time.Now()
	k := &keeper{
		log: log, self: replog.Member{ID: kept.ID, Name: name, Addr: addr}, founder: kept.IsFounder, disk: disk,
		clock: func() time.Duration { return time.Since(start) + time.Hour }, changed: func(*replog.State) {},
		mu: make(turnstile, 1), wake: make(chan struct{}, 1), over: make(chan struct{}),
	}
	k.core = replica.New(replica.Config{
		Self: k.self, IsFounder: kept.IsFounder, MinVoters: 2*tolerate + 1, Incarnation: rand.Uint64(), Seed: rand.Uint64(), State: kept.State, Acceptor: kept.Acceptor,
		Peers: func() []netip.AddrPort { return k.others() }, ChosenValue: disk.ChosenValue,
	})
	log.Info("state read", "member", fmt.Sprintf("%016x", kept.ID), "founder", kept.IsFounder, "next_place", kept.State.NextIndex,
		"revision", kept.State.Revision, "members", len(kept.State.Members))
	return k, nil
}

// close closes the disk for good.
func (k *keeper) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	k.disk.Close()
}

// answered is what comes back to who has called.
type answered struct {
	body []byte
	err  error
}

// turn reduces an event and does what follows.
func (k *keeper) turn(e replica.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reduce(e)
}

// turnIn is turn, unless the context is over before the keeper is free.
func (k *keeper) turnIn(ctx context.Context, e replica.Event) bool {
	if !k.mu.lockIn(ctx) {
		return false
	}
	defer k.mu.Unlock()
	k.reduce(e)
	return true
}

// reduce is turn once the lock is held.
func (k *keeper) reduce(e replica.Event) {
	now := k.clock()
	effects := append([]replica.Effect(nil), k.core.Reduce(now, e)...)
	for ; len(effects) > 0; effects = effects[1:] {
		switch f := effects[0].(type) {
		case replica.Write:
			ok := k.write(&f) == nil
			effects = append(effects, k.core.Reduce(now, replica.WriteDone{ID: f.ID, Durable: ok})...)
		case replica.SendCall:
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
				defer cancel()
				body, err := k.call(ctx, f.To, f.Kind, f.Body)
				k.turn(replica.CallReturned{ID: f.ID, Body: body, Err: err})
			}()
		case replica.SendReply:
			f.Of.(chan answered) <- answered{f.Body, f.Err} // it has room
		case replica.OperatorAnswer:
			f.Of.(chan api.Result) <- f.Result // likewise
		case replica.Proposed:
			f.Of.(chan error) <- f.Err // likewise
		case replica.Left:
			close(f.Of.(chan struct{}))
		case replica.StateChanged:
			k.changed(&f.State)
		case replica.Log:
			k.log.Log(context.Background(), f.Level, f.Message, f.Args...)
		}
	}
	if next, ok := k.core.NextTimer(); ok && next < k.until {
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
}

// run keeps time until the context is over.
func (k *keeper) run(ctx context.Context) {
	defer close(k.over)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		k.mu.Lock()
		k.until = k.clock() + time.Minute
		if next, ok := k.core.NextTimer(); ok {
			k.until = min(k.until, next)
		}
		timer.Reset(max(k.until-k.clock(), time.Millisecond))
		k.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
			continue
		case <-timer.C:
		}
		k.turn(replica.Tick{})
	}
}

// at returns the state as it is.
func (k *keeper) at() replog.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.State()
}

// unsure tells whether a change of members was accepted here that may have been chosen.
func (k *keeper) unsure() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.MembershipPending()
}

// leave hands over to those that stay, until a context is over at the latest.
func (k *keeper) leave(ctx context.Context) {
	of := make(chan struct{})
	k.turn(replica.Leave{Of: of, Until: k.end(ctx)})
	select {
	case <-of:
	case <-ctx.Done():
	}
}

// end is a context's end by the keeper's clock.
func (k *keeper) end(ctx context.Context) time.Duration {
	if at, ok := ctx.Deadline(); ok {
		return k.clock() + time.Until(at)
	}
	return k.clock() + limits.OperatorCallTimeout
}

var errBusy = errors.New("the disk takes its time")

// handle answers a call of another process. What its caller has given up meanwhile is not done: it was behind other work for so
// long that newer calls have come, and by these a keeper that has fallen behind takes a state, not one place after another.
func (k *keeper) handle(ctx context.Context, kind uint8, from netip.Addr, body []byte) ([]byte, error) {
	of := make(chan answered, 1)
	wait, cancel := context.WithTimeout(ctx, replica.CallTimeout(kind))
	defer cancel()
	if !k.turnIn(wait, replica.CallReceived{Kind: kind, Body: body, From: from, Of: of}) {
		return nil, errBusy
	}
	select {
	case a := <-of:
		return a.body, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// operate has a call of the operator answered.
func (k *keeper) operate(ctx context.Context, event func(of chan api.Result, until time.Duration) replica.Event) api.Result {
	of := make(chan api.Result, 1)
	until := k.end(ctx)
	wait, cancel := context.WithTimeout(ctx, until-k.clock())
	defer cancel()
	if !k.turnIn(wait, event(of, until)) {
		return api.Result{Status: http.StatusServiceUnavailable, Message: errBusy.Error()}
	}
	select {
	case r := <-of:
		return r
	case <-k.over:
		return api.Result{Status: http.StatusServiceUnavailable, Message: "it is ending"}
	}
}

// propose has entries chosen until want says that it is done. What want keeps account of is the caller's again afterwards.
func (k *keeper) propose(ctx context.Context, want func(*replog.State) []byte) error {
	of := make(chan error, 1)
	k.turn(replica.Propose{Next: want, Of: of, Until: k.end(ctx)})
	select {
	case err := <-of:
		return err
	case <-k.over:
		return replica.ErrQuorumUnavailable
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
