package replica

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
)

// TestReadPollsNewVoters: a replica that learns of new voters during a read also polls these, because they may have
// chosen entries without any of the former voters.
func TestReadPollsNewVoters(t *testing.T) {
	former, changed := replog.State{NextIndex: 5, Members: membersOf(1, 2, 3)}, replog.State{NextIndex: 6, Members: membersOf(4, 5, 6)}
	newest := changed
	newest.NextIndex, newest.Revision, newest.Config = 7, 9, []byte("newest")
	change := replog.Entry{Payload: replog.MembersChange{Members: changed.Members}}.Encode()
	for name, formerVoter := range map[string]func(paxos.Request) paxos.Response{
		"former voters know the change": func(paxos.Request) paxos.Response {
			return paxos.Response{Verdict: paxos.VerdictReported, NextIndex: changed.NextIndex}
		},
		"former voters have accepted the change": func(req paxos.Request) paxos.Response {
			accepted := paxos.ProposalNumber{Term: 1, Proposer: 3}
			resp := paxos.Response{Verdict: paxos.VerdictGranted, NextIndex: former.NextIndex, Accepted: accepted, Value: change}
			if req.Kind == paxos.KindQuery {
				resp.Verdict = paxos.VerdictReported
			}
			return resp
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Self: former.Members[0], MinVoters: 1, Incarnation: 9, State: former, Peers: noPeers, ChosenValue: noValue})
			// respond returns a voter's answer to a call.
			respond := func(f SendCall) []byte {
				resp, state := paxos.Response{Verdict: paxos.VerdictReported, NextIndex: newest.NextIndex}, &newest
				if f.To.Addr().As4()[3] <= 3 {
					state = &changed
					if req, err := decodePaxosRequest(f.Body); err == nil {
						resp = formerVoter(req)
					}
				}
				if f.Kind == rpc.KindSnapshot {
					return state.Encode()
				}
				return encodePaxosResponse(&resp)
			}
			var answers []api.Result
			effects := slices.Clone(r.Reduce(time.Second, ReadConfig{Deadline: 2 * time.Second}))
			for at := time.Second; len(effects) > 0; effects = effects[1:] {
				at += time.Millisecond
				if len(effects) == 1 && len(answers) == 0 { // the read waits for the proposer of the open index
					effects = append(effects, r.Reduce(at+300*time.Millisecond, Tick{})...)
				}
				switch f := effects[0].(type) {
				case Write:
					effects = append(effects, r.Reduce(at, WriteDone{f.ID, true})...)
				case OperatorAnswer:
					answers = append(answers, f.Result)
				case SendCall:
					effects = append(effects, r.Reduce(at, CallReturned{ID: f.ID, Body: respond(f)})...)
				}
			}
			if len(answers) != 1 || answers[0].Revision != 9 {
				t.Errorf("got %+v, want revision 9, which the new voters have acknowledged", answers)
			}
		})
	}
}

// readTest runs one of three replicas; the test answers its calls.
type readTest struct {
	t        *testing.T
	replica  *Replica
	newest   replog.State // state of the other voters
	calls    []SendCall   // unanswered calls
	answered int          // number of answered reads
}

func (rt *readTest) handle(at time.Duration, e Event) {
	rt.t.Helper()
	effects := slices.Clone(rt.replica.Reduce(at, e))
	for ; len(effects) > 0; effects = effects[1:] {
		switch f := effects[0].(type) {
		case Write:
			effects = append(effects, rt.replica.Reduce(at, WriteDone{f.ID, true})...)
		case SendCall:
			rt.calls = append(rt.calls, f)
		case OperatorAnswer:
			if rt.answered++; f.Revision != rt.newest.Revision || f.Status != http.StatusOK {
				rt.t.Errorf("answer %+v, want the newest revision", f.Result)
			}
		}
	}
}

// TestReadsShareRounds: simultaneous reads share one poll of a majority, reads that arrive during its answers share one
// more, and the newer state is fetched once.
func TestReadsShareRounds(t *testing.T) {
	members := membersOf(1, 2, 3)
	rt := &readTest{t: t, newest: replog.State{NextIndex: 9, Members: members, Revision: 7, Config: []byte("newest")}}
	rt.replica = New(Config{
		Self: members[0], MinVoters: 3, Incarnation: 9, State: replog.State{NextIndex: 5, Members: members}, Peers: noPeers, ChosenValue: noValue,
	})
	readAll := func(at time.Duration) {
		for range 60 {
			rt.handle(at, ReadConfig{Deadline: 2 * time.Second})
		}
	}
	readAll(time.Second)
	polled, fetched := 0, 0
	for at := time.Second; len(rt.calls) > 0; rt.calls = rt.calls[1:] {
		at += time.Millisecond
		if at == time.Second+2*time.Millisecond { // one answer has arrived
			readAll(at)
		}
		body := encodePaxosResponse(&paxos.Response{Verdict: paxos.VerdictReported, NextIndex: rt.newest.NextIndex})
		switch rt.calls[0].Kind {
		case rpc.KindSnapshot:
			fetched++
			body = rt.newest.Encode()
		case rpc.KindPaxos:
			polled++
		}
		rt.handle(at, CallReturned{ID: rt.calls[0].ID, Body: body})
	}
	if rt.answered != 120 || polled > 4 || fetched != 1 {
		t.Errorf("%d reads answered, voters polled %d times, state fetched %d times; want 120, at most 4, 1", rt.answered, polled, fetched)
	}
}

// TestPassiveReadProposesNothing: while only a proposal can decide an open index, a passive read waits until its
// deadline and fails; an active read first waits for the proposer and then proposes.
func TestPassiveReadProposesNothing(t *testing.T) {
	for _, isPassive := range []bool{true, false} {
		t.Run(fmt.Sprint("passive ", isPassive), func(t *testing.T) {
			proposals, status := readOpenIndex(t, isPassive)
			isUnavailable := status == http.StatusServiceUnavailable
			if isPassive && (proposals > 0 || !isUnavailable) || !isPassive && (proposals == 0 || isUnavailable) {
				t.Errorf("%d proposal calls, status %d", proposals, status)
			}
		})
	}
}

// readOpenIndex reads while all other voters have accepted a value at the open index. It returns the number of proposal
// calls and the status of the answer.
func readOpenIndex(t *testing.T, isPassive bool) (proposals int, status api.Status) {
	t.Helper()
	members := membersOf(1, 2, 3)
	noop := func(uint64) ([]byte, bool) { return replog.Entry{Payload: replog.Noop{}}.Encode(), true }
	r := New(Config{
		Self: members[0], MinVoters: 3, Incarnation: 9, State: replog.State{NextIndex: 5, Members: members}, Peers: noPeers, ChosenValue: noop,
	})
	start := time.Second
	effects := slices.Clone(r.Reduce(start, ReadConfig{Deadline: start + 900*time.Millisecond, Passive: isPassive}))
	for at := start; at < start+time.Second; at += 10 * time.Millisecond {
		for effects = append(effects, r.Reduce(at, Tick{})...); len(effects) > 0; effects = effects[1:] {
			switch f := effects[0].(type) {
			case Write:
				effects = append(effects, r.Reduce(at, WriteDone{f.ID, true})...)
			case OperatorAnswer:
				status = f.Status
			case SendCall:
				req, err := decodePaxosRequest(f.Body)
				resp := paxos.Response{Verdict: paxos.VerdictReported, NextIndex: 5, Accepted: paxos.ProposalNumber{Term: 1, Proposer: 4}}
				if f.Kind == rpc.KindPaxos && err == nil && req.Kind != paxos.KindQuery {
					if proposals++; at < start+100*time.Millisecond {
						t.Errorf("proposed %v after the read arrived, want at least 100ms", at-start)
					}
					resp = paxos.Response{Verdict: paxos.VerdictGranted, NextIndex: 5}
				}
				effects = append(effects, r.Reduce(at, CallReturned{ID: f.ID, Body: encodePaxosResponse(&resp)})...)
			}
		}
	}
	return proposals, status
}
