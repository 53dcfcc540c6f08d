package core

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/ballot"
	"notchhinge/internal/control/chain"
	"notchhinge/internal/control/declared"
)

func keeper(voter bool) *Node {
	self := chain.Member{ID: 1, Name: "k-1", Addr: "10.0.0.1:7000"}
	c := Config{Self: self, Least: 1, Life: 9, Others: func() []netip.AddrPort { return nil }, Chosen: func(uint64) ([]byte, bool) { return nil, false }}
	c.State = chain.State{Next: 1, Members: []chain.Member{self}}
	if !voter {
		c.State.Members = []chain.Member{{ID: 2, Name: "k-2", Addr: "10.0.0.2:7000"}}
	}
	return New(c)
}

// replies plays an event, and answers writes as told until nothing more follows.
func replies(n *Node, now time.Duration, e Event, ok bool) (all []Effect, writes int) {
	effects := append([]Effect(nil), n.Reduce(now, e)...)
	for ; len(effects) > 0; effects = effects[1:] {
		switch f := effects[0].(type) {
		case Write:
			writes++
			effects = append(effects, n.Reduce(now, Wrote{f.ID, ok})...)
		case Reply, Answered, Proposed:
			all = append(all, f)
		}
	}
	return all, writes
}

// TestNothingIsSaidBeforeTheDiskHasIt: a vote's answer leaves once it is durable, and not at all where the disk refuses; what
// is granted later writes it once more.
func TestNothingIsSaidBeforeTheDiskHasIt(t *testing.T) {
	n := keeper(true)
	ask := func(round uint64) Called {
		return Called{Kind: CallAsk, Body: encodeAsk(&ballot.Ask{Kind: ballot.Prepare, Place: 1, Number: ballot.Number{Round: round, Node: 5}})}
	}
	n.Reduce(time.Second, Tick{})
	for _, f := range n.Reduce(time.Second, ask(3)) {
		if r, said := f.(Reply); said {
			t.Errorf("said before it is on the disk: %+v", r)
		}
	}
	n = keeper(true)
	said, _ := replies(n, time.Second, ask(3), false)
	if len(said) != 1 || said[0].(Reply).Err == nil {
		t.Errorf("the disk has refused it: %+v", said)
	}
	said, writes := replies(n, time.Second, ask(3), true) // the same again: granted already in memory
	if len(said) != 1 || said[0].(Reply).Err != nil || writes != 1 {
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
	n.Reduce(time.Second, Put{Text: text, Of: "put", Until: 2 * time.Second})
	n.Reduce(time.Second, Get{Of: "get", Until: 2 * time.Second})
	answered := map[any]api.Result{}
	for now := time.Second; now <= 2*time.Second+100*time.Millisecond; now += 10 * time.Millisecond {
		for _, f := range append([]Effect(nil), n.Reduce(now, Tick{})...) {
			switch f := f.(type) {
			case Call:
				n.Reduce(now, Returned{ID: f.ID, Err: errDisk})
			case Answered:
				answered[f.Of] = f.Result
			}
		}
	}
	if answered["put"].Status != 503 || answered["get"].Status != 503 {
		t.Errorf("%+v", answered)
	}
	n = keeper(true)
	said, _ := replies(n, time.Second, Put{Text: text, Of: "put", Until: 2 * time.Second}, true)
	if len(said) != 1 || said[0].(Answered).Status != 200 || n.State().Revision != 5 {
		t.Errorf("%+v", said)
	}
	for says, c := range map[int]Put{200: {Text: text}, 412: {On: 3, Text: []byte("\xa3\x68revision\x07\x66routes\x80\x68services\x80")},
		400: {On: 5, Text: []byte("\xa3\x68revision\x04\x66routes\x80\x68services\x80")}} {
		c.Until = 3 * time.Second
		if said, _ := replies(n, 2*time.Second, c, true); len(said) != 1 || said[0].(Answered).Status != says {
			t.Errorf("%d is wanted: %+v", says, said)
		}
	}
}

// TestReadAfterOthersHaveFollowed: who learns as it settles a read that the members are others now asks these, too: they may
// have gone on since without any of the former ones.
func TestReadAfterOthersHaveFollowed(t *testing.T) {
	members := func(ids ...uint64) (all []chain.Member) {
		for _, id := range ids {
			all = append(all, chain.Member{ID: id, Name: "k", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 7000).String()})
		}
		return all
	}
	former, now := chain.State{Next: 5, Members: members(1, 2, 3)}, chain.State{Next: 6, Members: members(4, 5, 6)}
	newest := now
	newest.Next, newest.Revision, newest.Text = 7, 9, []byte("newest")
	change := (&chain.Entry{Kind: chain.Members, Members: now.Members}).Encode()
	for name, former3 := range map[string]func(ask ballot.Ask) ballot.Answer{ // what the former members say
		"they know it": func(ballot.Ask) ballot.Answer { return ballot.Answer{Verdict: ballot.Known, Next: now.Next} },
		"they have accepted it": func(ask ballot.Ask) ballot.Answer {
			ans := ballot.Answer{Verdict: ballot.Granted, Next: former.Next, Accepted: ballot.Number{Round: 1, Node: 3}, Value: change}
			if ask.Kind == ballot.Query {
				ans.Verdict = ballot.Known
			}
			return ans
		},
	} {
		n := New(Config{Self: former.Members[0], Least: 1, Life: 9, State: former, Others: func() []netip.AddrPort { return nil },
			Chosen: func(uint64) ([]byte, bool) { return nil, false }})
		var said []api.Result
		effects := append([]Effect(nil), n.Reduce(time.Second, Get{Of: "get", Until: 2 * time.Second})...)
		for at := time.Second; len(effects) > 0; effects = effects[1:] {
			at += time.Millisecond
			if len(effects) == 1 && len(said) == 0 { // it leaves what is open to its proposer for a while
				effects = append(effects, n.Reduce(at+300*time.Millisecond, Tick{})...)
			}
			switch f := effects[0].(type) {
			case Write:
				effects = append(effects, n.Reduce(at, Wrote{f.ID, true})...)
			case Answered:
				said = append(said, f.Result)
			case Call:
				ans, id := ballot.Answer{Verdict: ballot.Known, Next: newest.Next}, f.To.Addr().As4()[3]
				state := &newest
				if ask, err := decodeAsk(f.Body); id <= 3 {
					if state = &now; err == nil {
						ans = former3(ask)
					}
				}
				body := encodeAnswer(&ans)
				if f.Kind == CallState {
					body = state.Encode()
				}
				effects = append(effects, n.Reduce(at, Returned{ID: f.ID, Body: body})...)
			}
		}
		if len(said) != 1 || said[0].Rev != 9 {
			t.Errorf("%s: %+v; what the new members have acknowledged is version 9", name, said)
		}
	}
}

// TestStateForAnEarlierProgram: who does not say which formats it reads is sent the first, and catches up.
func TestStateForAnEarlierProgram(t *testing.T) {
	n := keeper(true)
	for k := range uint64(200) {
		text, err := cbor.Marshal(declared.Config{Revision: k + 1, Routes: []declared.Route{}, Services: []declared.Service{}})
		if err != nil {
			t.Fatal(err)
		}
		if said, _ := replies(n, time.Second, Put{On: k, Text: text, Of: k, Until: 2 * time.Second}, true); len(said) != 1 || said[0].(Answered).Status != 200 {
			t.Fatalf("%d: %+v", k, said)
		}
	}
	for reads, format := range map[string]byte{"": 1, "\x01": 1, "\x02": 2, "\x09": 2} {
		said, _ := replies(n, time.Second, Called{Kind: CallState, Body: EncodePlace(3, []byte(reads))}, true)
		b := said[0].(Reply).Body
		s, err := chain.DecodeState(b)
		if err != nil || b[0] != format || s.Revision != 200 || s.Next != n.State().Next {
			t.Errorf("who reads %q: %v, format %d", reads, err, b[0])
		}
	}
}

// TestReadsAreSettledTogether: routers that start at one moment all ask a keeper for what is settled. A majority is asked once for
// those that have come, and once more for those that come while its answers are on their way; the state of who has come further
// is fetched once.
func TestReadsAreSettledTogether(t *testing.T) {
	members := []chain.Member{{ID: 1, Name: "k-1", Addr: "10.0.0.1:7000"}, {ID: 2, Name: "k-2", Addr: "10.0.0.2:7000"}, {ID: 3, Name: "k-3", Addr: "10.0.0.3:7000"}}
	n := New(Config{Self: members[0], Least: 3, Life: 9, State: chain.State{Next: 5, Members: members}, Others: func() []netip.AddrPort { return nil },
		Chosen: func(uint64) ([]byte, bool) { return nil, false }})
	newest := chain.State{Next: 9, Members: members, Revision: 7, Text: []byte("newest")}
	answered, asked, fetched := 0, 0, 0
	var calls []Call
	take := func(at time.Duration, e Event) {
		effects := append([]Effect(nil), n.Reduce(at, e)...)
		for ; len(effects) > 0; effects = effects[1:] {
			switch f := effects[0].(type) {
			case Write:
				effects = append(effects, n.Reduce(at, Wrote{f.ID, true})...)
			case Call:
				calls = append(calls, f)
			case Answered:
				if answered++; f.Rev != 7 || f.Status != http.StatusOK {
					t.Errorf("%+v", f.Result)
				}
			}
		}
	}
	for i := range 60 {
		take(time.Second, Get{Of: i, Until: 2 * time.Second})
	}
	for at := time.Second; len(calls) > 0; calls = calls[1:] {
		at += time.Millisecond
		if at == time.Second+2*time.Millisecond { // one answer has come
			for i := range 60 {
				take(at, Get{Of: i, Until: 2 * time.Second})
			}
		}
		ans := ballot.Answer{Verdict: ballot.Known, Next: newest.Next}
		body := encodeAnswer(&ans)
		if calls[0].Kind == CallState {
			fetched++
			body = newest.Encode()
		} else if calls[0].Kind == CallAsk {
			asked++
		}
		take(at, Returned{ID: calls[0].ID, Body: body})
	}
	if answered != 120 || asked > 4 || fetched != 1 {
		t.Errorf("%d reads are answered; members were asked %d times, the state was fetched %d times", answered, asked, fetched)
	}
}

// TestQuietReadsProposeNothing: while something is open that a ballot must decide, a read for a router's start waits for it and
// has no answer in the end; an operator's leaves it to its proposer for a while, and then has it decided.
func TestQuietReadsProposeNothing(t *testing.T) {
	for _, quiet := range []bool{true, false} {
		members := []chain.Member{{ID: 1, Name: "k-1", Addr: "10.0.0.1:7000"}, {ID: 2, Name: "k-2", Addr: "10.0.0.2:7000"}, {ID: 3, Name: "k-3", Addr: "10.0.0.3:7000"}}
		n := New(Config{Self: members[0], Least: 3, Life: 9, State: chain.State{Next: 5, Members: members}, Others: func() []netip.AddrPort { return nil },
			Chosen: func(uint64) ([]byte, bool) { return (&chain.Entry{Kind: chain.Nothing}).Encode(), true }})
		began, ballots, status := time.Second, 0, 0
		effects := append([]Effect(nil), n.Reduce(began, Get{Of: "get", Until: began + 900*time.Millisecond, Quiet: quiet})...)
		for at := began; at < began+time.Second; at += 10 * time.Millisecond {
			for effects = append(effects, n.Reduce(at, Tick{})...); len(effects) > 0; effects = effects[1:] {
				switch f := effects[0].(type) {
				case Write:
					effects = append(effects, n.Reduce(at, Wrote{f.ID, true})...)
				case Answered:
					status = f.Status
				case Call:
					ask, err := decodeAsk(f.Body)
					ans := ballot.Answer{Verdict: ballot.Known, Next: 5, Accepted: ballot.Number{Round: 1, Node: 4}}
					if f.Kind == CallAsk && err == nil && ask.Kind != ballot.Query {
						if ballots++; at < began+100*time.Millisecond {
							t.Errorf("quiet %v: a ballot %v after it came", quiet, at-began)
						}
						ans = ballot.Answer{Verdict: ballot.Granted, Next: 5}
					}
					effects = append(effects, n.Reduce(at, Returned{ID: f.ID, Body: encodeAnswer(&ans)})...)
				}
			}
		}
		if quiet && (ballots > 0 || status != http.StatusServiceUnavailable) || !quiet && (ballots == 0 || status == http.StatusServiceUnavailable) {
			t.Errorf("quiet %v: %d ballots' calls, status %d", quiet, ballots, status)
		}
	}
}
