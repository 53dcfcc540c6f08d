package replica

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
)

func keeper(voter bool) *Replica {
	self := replog.Member{ID: 1, Name: "k-1", Addr: "10.0.0.1:7000"}
	c := Config{Self: self, MinVoters: 1, Incarnation: 9, Peers: func() []netip.AddrPort { return nil }, ChosenValue: func(uint64) ([]byte, bool) { return nil, false }}
	c.State = replog.State{NextIndex: 1, Members: []replog.Member{self}}
	if !voter {
		c.State.Members = []replog.Member{{ID: 2, Name: "k-2", Addr: "10.0.0.2:7000"}}
	}
	return New(c)
}

// replies plays an event, and answers writes as told until nothing more follows.
func replies(n *Replica, now time.Duration, e Event, ok bool) (all []Effect, writes int) {
	effects := append([]Effect(nil), n.Reduce(now, e)...)
	for ; len(effects) > 0; effects = effects[1:] {
		switch f := effects[0].(type) {
		case Write:
			writes++
			effects = append(effects, n.Reduce(now, WriteDone{f.ID, ok})...)
		case SendReply, OperatorAnswer, Proposed:
			all = append(all, f)
		}
	}
	return all, writes
}

// TestNothingIsSaidBeforeTheDiskHasIt: a vote's answer leaves once it is durable, and not at all where the disk refuses; what
// is granted later writes it once more.
func TestNothingIsSaidBeforeTheDiskHasIt(t *testing.T) {
	n := keeper(true)
	ask := func(round uint64) CallReceived {
		return CallReceived{Kind: CallPaxos, Body: encodeAsk(&paxos.Request{Kind: paxos.KindPrepare, Index: 1, Number: paxos.ProposalNumber{Term: round, Proposer: 5}})}
	}
	n.Reduce(time.Second, Tick{})
	for _, f := range n.Reduce(time.Second, ask(3)) {
		if r, said := f.(SendReply); said {
			t.Errorf("said before it is on the disk: %+v", r)
		}
	}
	n = keeper(true)
	said, _ := replies(n, time.Second, ask(3), false)
	if len(said) != 1 || said[0].(SendReply).Err == nil {
		t.Errorf("the disk has refused it: %+v", said)
	}
	said, writes := replies(n, time.Second, ask(3), true) // the same again: granted already in memory
	if len(said) != 1 || said[0].(SendReply).Err != nil || writes != 1 {
		t.Errorf("once the disk takes it: %+v, %d writes", said, writes)
	}
	if _, writes = replies(n, time.Second, ask(3), true); writes != 0 {
		t.Errorf("%d writes of what it has", writes)
	}
}

// TestOperatorsAreAnsweredInTime: whoever is out of reach, each call has its answer by its time.
func TestOperatorsAreAnsweredInTime(t *testing.T) {
	n := keeper(false) // it holds the state, has no vote, and the one that has does not answer
	text := []byte("\xa3\x68revision\x05\x66routes\x80\x68services\x80")
	n.Reduce(time.Second, ReplaceConfig{Config: text, Of: "put", Until: 2 * time.Second})
	n.Reduce(time.Second, ReadConfig{Of: "get", Until: 2 * time.Second})
	answered := map[any]api.Result{}
	for now := time.Second; now <= 2*time.Second+100*time.Millisecond; now += 10 * time.Millisecond {
		for _, f := range append([]Effect(nil), n.Reduce(now, Tick{})...) {
			switch f := f.(type) {
			case SendCall:
				n.Reduce(now, CallReturned{ID: f.ID, Err: errDisk})
			case OperatorAnswer:
				answered[f.Of] = f.Result
			}
		}
	}
	if answered["put"].Status != 503 || answered["get"].Status != 503 {
		t.Errorf("%+v", answered)
	}
	n = keeper(true)
	said, _ := replies(n, time.Second, ReplaceConfig{Config: text, Of: "put", Until: 2 * time.Second}, true)
	if len(said) != 1 || said[0].(OperatorAnswer).Status != 200 || n.State().Revision != 5 {
		t.Errorf("%+v", said)
	}
	for says, c := range map[int]ReplaceConfig{200: {Config: text}, 412: {BaseRevision: 3, Config: []byte("\xa3\x68revision\x07\x66routes\x80\x68services\x80")},
		400: {BaseRevision: 5, Config: []byte("\xa3\x68revision\x04\x66routes\x80\x68services\x80")}} {
		c.Until = 3 * time.Second
		if said, _ := replies(n, 2*time.Second, c, true); len(said) != 1 || said[0].(OperatorAnswer).Status != says {
			t.Errorf("%d is wanted: %+v", says, said)
		}
	}
}

// TestReadAfterOthersHaveFollowed: who learns as it settles a read that the members are others now asks these, too: they may
// have gone on since without any of the former ones.
func TestReadAfterOthersHaveFollowed(t *testing.T) {
	members := func(ids ...uint64) (all []replog.Member) {
		for _, id := range ids {
			all = append(all, replog.Member{ID: id, Name: "k", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 7000).String()})
		}
		return all
	}
	former, now := replog.State{NextIndex: 5, Members: members(1, 2, 3)}, replog.State{NextIndex: 6, Members: members(4, 5, 6)}
	newest := now
	newest.NextIndex, newest.Revision, newest.Config = 7, 9, []byte("newest")
	change := replog.Entry{Payload: replog.MembersChange{Members: now.Members}}.Encode()
	for name, former3 := range map[string]func(ask paxos.Request) paxos.Response{ // what the former members say
		"they know it": func(paxos.Request) paxos.Response {
			return paxos.Response{Verdict: paxos.VerdictReported, NextIndex: now.NextIndex}
		},
		"they have accepted it": func(ask paxos.Request) paxos.Response {
			ans := paxos.Response{Verdict: paxos.VerdictGranted, NextIndex: former.NextIndex, Accepted: paxos.ProposalNumber{Term: 1, Proposer: 3}, Value: change}
			if ask.Kind == paxos.KindQuery {
				ans.Verdict = paxos.VerdictReported
			}
			return ans
		},
	} {
		n := New(Config{Self: former.Members[0], MinVoters: 1, Incarnation: 9, State: former, Peers: func() []netip.AddrPort { return nil },
			ChosenValue: func(uint64) ([]byte, bool) { return nil, false }})
		var said []api.Result
		effects := append([]Effect(nil), n.Reduce(time.Second, ReadConfig{Of: "get", Until: 2 * time.Second})...)
		for at := time.Second; len(effects) > 0; effects = effects[1:] {
			at += time.Millisecond
			if len(effects) == 1 && len(said) == 0 { // it leaves what is open to its proposer for a while
				effects = append(effects, n.Reduce(at+300*time.Millisecond, Tick{})...)
			}
			switch f := effects[0].(type) {
			case Write:
				effects = append(effects, n.Reduce(at, WriteDone{f.ID, true})...)
			case OperatorAnswer:
				said = append(said, f.Result)
			case SendCall:
				ans, id := paxos.Response{Verdict: paxos.VerdictReported, NextIndex: newest.NextIndex}, f.To.Addr().As4()[3]
				state := &newest
				if ask, err := decodeAsk(f.Body); id <= 3 {
					if state = &now; err == nil {
						ans = former3(ask)
					}
				}
				body := encodeAnswer(&ans)
				if f.Kind == CallSnapshot {
					body = state.Encode()
				}
				effects = append(effects, n.Reduce(at, CallReturned{ID: f.ID, Body: body})...)
			}
		}
		if len(said) != 1 || said[0].Revision != 9 {
			t.Errorf("%s: %+v; what the new members have acknowledged is version 9", name, said)
		}
	}
}

// TestStateForAnEarlierProgram: who does not say which formats it reads is sent the first, and catches up.
func TestStateForAnEarlierProgram(t *testing.T) {
	n := keeper(true)
	for k := range uint64(200) {
		text, err := cbor.Marshal(fleetconfig.Config{Revision: k + 1, Routes: []fleetconfig.Route{}, Services: []fleetconfig.Service{}})
		if err != nil {
			t.Fatal(err)
		}
		if said, _ := replies(n, time.Second, ReplaceConfig{BaseRevision: k, Config: text, Of: k, Until: 2 * time.Second}, true); len(said) != 1 || said[0].(OperatorAnswer).Status != 200 {
			t.Fatalf("%d: %+v", k, said)
		}
	}
	for reads, format := range map[string]byte{"": 1, "\x01": 1, "\x02": 2, "\x09": 2} {
		said, _ := replies(n, time.Second, CallReceived{Kind: CallSnapshot, Body: EncodeIndexed(3, []byte(reads))}, true)
		b := said[0].(SendReply).Body
		s, err := replog.DecodeState(b)
		if err != nil || b[0] != format || s.Revision != 200 || s.NextIndex != n.State().NextIndex {
			t.Errorf("who reads %q: %v, format %d", reads, err, b[0])
		}
	}
}

// TestReadsAreSettledTogether: routers that start at one moment all ask a keeper for what is settled. A majority is asked once for
// those that have come, and once more for those that come while its answers are on their way; the state of who has come further
// is fetched once.
func TestReadsAreSettledTogether(t *testing.T) {
	members := []replog.Member{{ID: 1, Name: "k-1", Addr: "10.0.0.1:7000"}, {ID: 2, Name: "k-2", Addr: "10.0.0.2:7000"}, {ID: 3, Name: "k-3", Addr: "10.0.0.3:7000"}}
	n := New(Config{Self: members[0], MinVoters: 3, Incarnation: 9, State: replog.State{NextIndex: 5, Members: members}, Peers: func() []netip.AddrPort { return nil },
		ChosenValue: func(uint64) ([]byte, bool) { return nil, false }})
	newest := replog.State{NextIndex: 9, Members: members, Revision: 7, Config: []byte("newest")}
	answered, asked, fetched := 0, 0, 0
	var calls []SendCall
	take := func(at time.Duration, e Event) {
		effects := append([]Effect(nil), n.Reduce(at, e)...)
		for ; len(effects) > 0; effects = effects[1:] {
			switch f := effects[0].(type) {
			case Write:
				effects = append(effects, n.Reduce(at, WriteDone{f.ID, true})...)
			case SendCall:
				calls = append(calls, f)
			case OperatorAnswer:
				if answered++; f.Revision != 7 || f.Status != http.StatusOK {
					t.Errorf("%+v", f.Result)
				}
			}
		}
	}
	for i := range 60 {
		take(time.Second, ReadConfig{Of: i, Until: 2 * time.Second})
	}
	for at := time.Second; len(calls) > 0; calls = calls[1:] {
		at += time.Millisecond
		if at == time.Second+2*time.Millisecond { // one answer has come
			for i := range 60 {
				take(at, ReadConfig{Of: i, Until: 2 * time.Second})
			}
		}
		ans := paxos.Response{Verdict: paxos.VerdictReported, NextIndex: newest.NextIndex}
		body := encodeAnswer(&ans)
		if calls[0].Kind == CallSnapshot {
			fetched++
			body = newest.Encode()
		} else if calls[0].Kind == CallPaxos {
			asked++
		}
		take(at, CallReturned{ID: calls[0].ID, Body: body})
	}
	if answered != 120 || asked > 4 || fetched != 1 {
		t.Errorf("%d reads are answered; members were asked %d times, the state was fetched %d times", answered, asked, fetched)
	}
}

// TestQuietReadsProposeNothing: while something is open that a ballot must decide, a read for a router's start waits for it and
// has no answer in the end; an operator's leaves it to its proposer for a while, and then has it decided.
func TestQuietReadsProposeNothing(t *testing.T) {
	for _, quiet := range []bool{true, false} {
		members := []replog.Member{{ID: 1, Name: "k-1", Addr: "10.0.0.1:7000"}, {ID: 2, Name: "k-2", Addr: "10.0.0.2:7000"}, {ID: 3, Name: "k-3", Addr: "10.0.0.3:7000"}}
		n := New(Config{Self: members[0], MinVoters: 3, Incarnation: 9, State: replog.State{NextIndex: 5, Members: members}, Peers: func() []netip.AddrPort { return nil },
			ChosenValue: func(uint64) ([]byte, bool) { return replog.Entry{Payload: replog.Noop{}}.Encode(), true }})
		began, ballots, status := time.Second, 0, 0
		effects := append([]Effect(nil), n.Reduce(began, ReadConfig{Of: "get", Until: began + 900*time.Millisecond, Passive: quiet})...)
		for at := began; at < began+time.Second; at += 10 * time.Millisecond {
			for effects = append(effects, n.Reduce(at, Tick{})...); len(effects) > 0; effects = effects[1:] {
				switch f := effects[0].(type) {
				case Write:
					effects = append(effects, n.Reduce(at, WriteDone{f.ID, true})...)
				case OperatorAnswer:
					status = f.Status
				case SendCall:
					ask, err := decodeAsk(f.Body)
					ans := paxos.Response{Verdict: paxos.VerdictReported, NextIndex: 5, Accepted: paxos.ProposalNumber{Term: 1, Proposer: 4}}
					if f.Kind == CallPaxos && err == nil && ask.Kind != paxos.KindQuery {
						if ballots++; at < began+100*time.Millisecond {
							t.Errorf("quiet %v: a ballot %v after it came", quiet, at-began)
						}
						ans = paxos.Response{Verdict: paxos.VerdictGranted, NextIndex: 5}
					}
					effects = append(effects, n.Reduce(at, CallReturned{ID: f.ID, Body: encodeAnswer(&ans)})...)
				}
			}
		}
		if quiet && (ballots > 0 || status != http.StatusServiceUnavailable) || !quiet && (ballots == 0 || status == http.StatusServiceUnavailable) {
			t.Errorf("quiet %v: %d ballots' calls, status %d", quiet, ballots, status)
		}
	}
}
