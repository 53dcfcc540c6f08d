package scale

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"notchhinge/internal/control/configcache"
	"notchhinge/internal/control/delta"
	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/transport"
	"notchhinge/internal/control/usage"
	"notchhinge/internal/limits"
)

// place is where an address stands.
type place struct {
	zone   int
	keeper bool
}

// shared keeps one copy of each text, whoever has fetched it; the configurations are made here too.
type shared struct {
	mu   sync.Mutex
	kept map[uint64][]byte // by place
	made map[int][]byte    // by revision
}

// one returns the copy of a place's text.
func (s *shared) one(place uint64, text []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kept == nil {
		s.kept = map[uint64][]byte{}
	}
	if s.kept[place] == nil {
		s.kept[place] = text
	}
	return s.kept[place]
}

// router is a hollow router: news, meter and texts under locks of their own, with sockets and clock.
type router struct {
	f     *fleet
	zone  int
	net   *transport.Transport
	at    map[netip.Addr]place
	book  metrics.Traffic
	start time.Time

	regions atomic.Uint64 // bytes to other regions
	wanted  atomic.Uint64 // place of the newest configuration that is known of
	held    atomic.Uint64 // of the newest that is held
	changed atomic.Int64  // when that one came, in ns
	texts   configcache.Cache
	fetch   chan gossip.Peer

	mu    sync.Mutex
	node  *discovery.Node
	until time.Duration
	wake  chan struct{}

	lastRequest discovery.RequestID                          // under mu
	replies     map[discovery.RequestID]chan discovery.Reply // of requests in flight, under mu

	metering sync.Mutex
	meter    usage.Meter
	rnd      *rand.Rand
	windows  map[uint64]map[string]bool // tenants with requests
	arrived  uint64
}

// newRouter opens a hollow router's sockets.
func (f *fleet) newRouter(i int, ip string, at map[netip.Addr]place) (*router, error) {
	addr := netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(f.inner))
	r := &router{
		f: f, zone: at[addr.Addr()].zone, at: at, start: time.Now(), wake: make(chan struct{}, 1), fetch: make(chan gossip.Peer, 1),
		rnd: rand.New(rand.NewPCG(f.Seed, uint64(i)+1<<32)), windows: map[uint64]map[string]bool{},
		replies: map[discovery.RequestID]chan discovery.Reply{},
	}
	r.meter = usage.Meter{WindowLength: window, Incarnation: r.rnd.Uint64(), Zone: zoneName(r.zone)}
	var err error
	if r.net, err = transport.Open(addr, r.handle); err != nil {
		return nil, err
	}
	r.net.OnExchange = r.counted
	self := gossip.Peer{ID: gossip.PeerIDOf(fmt.Sprint("hollow-", i)), Addr: addr, Zone: hash32(zoneName(r.zone)), Flags: gossip.FlagRouter}
	r.node = discovery.New(discovery.Options{
		Self: self, Seed: r.rnd.Uint64(), HeartbeatTimeout: beat*limits.MissedHeartbeats + beat/2, ZoneHash: hash32,
	})
	return r, nil
}

// hash32 names a zone, as a node does.
func hash32(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}

func (r *router) clock() time.Duration { return time.Since(r.start) + time.Hour }

// counted keeps the account, as a node does.
func (r *router) counted(to netip.AddrPort, kind rpc.Kind, bytes int, datagram []byte) {
	cause := metrics.CauseConfigs
	switch {
	case kind == 0:
		cause = map[gossip.Purpose]metrics.Cause{gossip.PurposeAntiEntropy: metrics.CauseDigests, gossip.PurposeShuffle: metrics.CauseShuffles, gossip.PurposeDissemination: metrics.CauseGossip}[gossip.PurposeOf(datagram)]
		bytes += 28 // its headers
	case rpc.Lookup(kind).Owner == rpc.OwnerSingleton:
		cause = metrics.CauseUsage
	}
	there := r.at[to.Addr()]
	r.book.Add(cause, bytes, there.zone != r.zone)
	if there.zone%Regions != r.zone%Regions {
		r.regions.Add(uint64(bytes))
	}
	if there.keeper {
		r.f.mu.Lock()
		r.f.taken[cause.String()] += uint64(bytes)
		r.f.mu.Unlock()
	}
}

// turn reduces an event and does what follows.
func (r *router) turn(e discovery.Event) {
	r.mu.Lock()
	for _, x := range r.node.Reduce(r.clock(), time.Now().UnixMilli(), e) {
		switch x := x.(type) {
		case discovery.SendPacket:
			r.net.SendDatagram(x.To, x.Payload)
		case discovery.Reply:
			if reply, ok := r.replies[x.Request]; ok {
				reply <- x // has room for the one reply of a request
			}
		case discovery.ConfigAnnounced:
			for w := r.wanted.Load(); w < x.Index && !r.wanted.CompareAndSwap(w, x.Index); w = r.wanted.Load() {
			}
			select {
			case r.fetch <- x.From:
			default:
			}
		}
	}
	sooner := r.node.NextTimer() < r.until
	r.mu.Unlock()
	if sooner {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// beat takes an engine's call in, as control does, and waits for its answer.
func (r *router) beat(ctx context.Context, b *endpoints.Record, f *fleet) (home string, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply := make(chan discovery.Reply, 1)
	r.mu.Lock()
	r.lastRequest++
	request := r.lastRequest
	r.replies[request] = reply
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.replies, request)
		r.mu.Unlock()
	}()
	r.turn(discovery.Heartbeat{Request: request, Record: *b})
	select {
	case a := <-reply:
		if a.Err != nil || !a.HomeReplica.IsValid() {
			return "", a.Err
		}
		return netip.AddrPortFrom(a.HomeReplica.Addr(), uint16(f.control)).String(), nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// engines is how many are known here.
func (r *router) engines() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Endpoints.Len()
}

func (r *router) keepers() []gossip.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Gossip.Replicas()
}

// run runs its parts until the context is over.
func (r *router) run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { r.net.ServeCalls(ctx) })
	wait.Go(func() {
		r.net.ServeDatagrams(func(b []byte) { r.turn(discovery.Gossip{Event: gossip.PacketReceived{Payload: b}}) })
	})
	wait.Go(func() { r.fetches(ctx) })
	wait.Go(func() { r.reports(ctx) })
	var seeds []netip.AddrPort
	for k := range min(3, r.f.Keepers) {
		seeds = append(seeds, netip.AddrPortFrom(netip.MustParseAddr(r.f.real[k].ip), uint16(r.f.inner)))
	}
	r.turn(discovery.Gossip{Event: gossip.SeedsChanged{Addrs: seeds}})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		r.mu.Lock()
		r.until = r.node.NextTimer()
		r.mu.Unlock()
		timer.Reset(max(r.until-r.clock(), time.Millisecond))
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
			continue
		case <-timer.C:
		}
		r.turn(discovery.Gossip{Event: gossip.Tick{}})
	}
}

var errNotHere = errors.New("no state is held here")

// handle answers other processes: configurations that are held here.
func (r *router) handle(_ context.Context, kind rpc.Kind, _ netip.Addr, body []byte) ([]byte, error) {
	if kind != rpc.KindFetchConfig {
		return nil, errNotHere
	}
	place, _, err := replica.DecodeIndexed(body)
	if err != nil {
		return nil, err
	}
	return r.texts.EncodeReply(place), nil
}

// fetches gets configurations that are known of and not held.
func (r *router) fetches(ctx context.Context) {
	for {
		var from gossip.Peer
		select {
		case <-ctx.Done():
			return
		case from = <-r.fetch:
		}
		for r.held.Load() < r.wanted.Load() && ctx.Err() == nil {
			for _, p := range append([]gossip.Peer{from}, r.keepers()...) {
				if p.Addr.IsValid() && r.get(ctx, p.Addr) && r.held.Load() >= r.wanted.Load() {
					break
				}
			}
			if r.held.Load() < r.wanted.Load() {
				pause(ctx, 50*time.Millisecond)
			}
		}
	}
}

// get asks another for a configuration that is newer than the one here. It tells whether it answered.
func (r *router) get(ctx context.Context, to netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, limits.ReplicaFailoverTimeout)
	defer cancel()
	has, had := r.texts.Newest()
	b, err := r.net.Call(ctx, to, rpc.KindFetchConfig, replica.EncodeIndexed(has, nil))
	if err != nil {
		return false
	}
	place, text, err := configcache.DecodeReply(b, had)
	if err != nil || len(text) == 0 || place <= r.held.Load() {
		return err == nil || errors.Is(err, delta.ErrWrongBase)
	}
	r.texts.Add(place, r.f.texts.one(place, text))
	r.changed.Store(time.Now().UnixNano())
	r.held.Store(place)
	go r.turn(discovery.ConfigStored{Index: place})
	return true
}

// reports tells keepers what this router would have counted, until the context is over.
func (r *router) reports(ctx context.Context) {
	pause(ctx, time.Duration(r.rnd.Int64N(int64(limits.RouterReportInterval)))) // routers have not all started at one moment
	tick := time.NewTicker(limits.RouterReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.report(ctx)
	}
}

// report makes one report to every keeper, as a node does.
func (r *router) report(ctx context.Context) {
	r.f.mu.Lock()
	peak := r.f.peak
	r.f.mu.Unlock()
	now := time.Now()
	keepers := r.keepers()
	ids := make([]uint64, len(keepers))
	for i, k := range keepers {
		ids[i] = uint64(k.ID)
	}
	r.metering.Lock()
	if peak {
		r.count(now)
	} else { // as few as in the model
		for range r.rnd.IntN(4) {
			r.meter.CountRequest(now, fmt.Sprint("t", r.rnd.IntN(3)))
		}
	}
	loads := make([]usage.Load, models)
	for i := range loads {
		loads[i] = usage.Load{Service: fmt.Sprint("model-", i), Running: uint64(r.rnd.IntN(400)), Arrived: r.arrived / models}
	}
	all := r.meter.Reports(now, loads, ids)
	r.metering.Unlock()
	for i, k := range keepers {
		go func() {
			one, cancel := context.WithTimeout(ctx, limits.ReplicaFailoverTimeout)
			defer cancel()
			b, err := r.net.Call(one, k.Addr, rpc.KindUsageReport, all[i].Encode())
			r.turn(discovery.Gossip{Event: gossip.CallCompleted{PeerID: k.ID, Answered: err == nil}})
			word, bad := usage.DecodeAck(b)
			if err != nil || bad != nil {
				return
			}
			r.metering.Lock()
			defer r.metering.Unlock()
			r.meter.HandleAck(uint64(k.ID), word, &all[i])
		}()
	}
}

// count counts what came since the last report at the peak: as many as a mean router has, more or less. The lock is held.
func (r *router) count(now time.Time) {
	mean := r.f.Rate / float64(r.f.Routers) * limits.RouterReportInterval.Seconds()
	n := int(max(mean+math.Sqrt(mean)*r.rnd.NormFloat64()+r.rnd.Float64(), 0))
	number := usage.WindowAt(now, window)
	if r.windows[number] == nil {
		r.windows[number] = map[string]bool{}
		delete(r.windows, number-5)
	}
	for range n {
		tenant := tenantName(r.f.tenants.next(r.rnd))
		r.meter.CountRequest(now, tenant)
		r.windows[number][tenant] = true
	}
	r.arrived += uint64(n)
}

// drawn adds the tenants that had requests here in a window.
func (r *router) drawn(number uint64, to map[string]bool) {
	r.metering.Lock()
	defer r.metering.Unlock()
	for tenant := range r.windows[number] {
		to[tenant] = true
	}
}

func tenantName(i int) string { return fmt.Sprintf("tenant-%05d", i) }

// draw draws ranks whose part falls with the rank to a power.
type draw struct{ upTo []float64 }

func newDraw(n int, power float64) *draw {
	d := &draw{make([]float64, max(n, 1))}
	sum := 0.0
	for i := range d.upTo {
		sum += math.Pow(float64(i+1), -power)
		d.upTo[i] = sum
	}
	return d
}

func (d *draw) next(rnd *rand.Rand) int {
	i, _ := slices.BinarySearchFunc(d.upTo, rnd.Float64()*d.upTo[len(d.upTo)-1], cmp.Compare[float64])
	return min(i, len(d.upTo)-1)
}
