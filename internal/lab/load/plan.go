// Package load is the lab's load generator. It draws the requests of a run in advance, sends each one when it is due regardless
// of earlier responses (an open loop), and records every attempt in a ledger. It does not depend on the router's packages.
package load

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Class describes one class of requests of the deployment that the lab models.
type Class struct {
	Name                  string
	Share                 float64       // weight in the mix of requests
	Value                 float64       // of a response in time
	Turns                 [2]float64    // per session; lower and upper bound, as in the other pairs
	NewTokens             [2]float64    // added to the prompt by each turn
	Answer                [2]float64    // tokens
	PrefixTokens          [2]float64    // of a shared prompt prefix
	Prefixes              int           // number of shared prompt prefixes
	ThinkTime             time.Duration // mean time between a response and the next turn
	FirstTokenTarget      time.Duration
	FirstTokenTargetPer1K time.Duration // added to FirstTokenTarget for each 1000 prompt tokens
	TokenTarget           time.Duration // for each token after the first
	Deadline              time.Duration
}

// Classes returns the classes of the deployment, with times divided by speed and token counts multiplied by size.
func Classes(speed, size float64) []Class {
	scaled := func(d time.Duration) time.Duration { return time.Duration(float64(d) / speed) }
	tokens := func(from, to float64) [2]float64 { return [2]float64{max(from*size, 1), max(to*size, 2)} }
	const ms = time.Millisecond
	return []Class{
		{
			Name: "shift-agent", Share: 0.49, Value: 5, Turns: [2]float64{4.1, 7.4}, NewTokens: tokens(220, 710), Answer: tokens(56, 120),
			PrefixTokens: tokens(4500, 7900), Prefixes: 12, ThinkTime: scaled(3 * time.Second), FirstTokenTarget: scaled(2500 * ms), FirstTokenTargetPer1K: scaled(40 * ms),
			TokenTarget: scaled(60 * ms), Deadline: scaled(12 * time.Second),
		},
		{
			Name: "doc-lookup", Share: 0.30, Value: 3, Turns: [2]float64{1.2, 2.9}, NewTokens: tokens(100, 280), Answer: tokens(62, 200),
			PrefixTokens: tokens(3300, 5800), Prefixes: 8, ThinkTime: scaled(4 * time.Second), FirstTokenTarget: scaled(1500 * ms), FirstTokenTargetPer1K: scaled(40 * ms),
			TokenTarget: scaled(80 * ms), Deadline: scaled(6 * time.Second),
		},
		{
			Name: "batch-summary", Share: 0.21, Value: 3, Turns: [2]float64{1.1, 1.3}, NewTokens: tokens(560, 2000), Answer: tokens(35, 110),
			PrefixTokens: tokens(240, 970), Prefixes: 30, ThinkTime: scaled(2 * time.Second), FirstTokenTarget: scaled(2500 * ms), FirstTokenTargetPer1K: scaled(60 * ms),
			TokenTarget: scaled(50 * ms), Deadline: scaled(12 * time.Second),
		},
	}
}

// Request is one request of a client, sent in one or more attempts.
type Request struct {
	Number       int
	Class        *Class
	Session      uint64
	Turn         int
	Prefix       uint64 // identifies the shared prompt prefix
	PrefixTokens int
	Prompt       int           // tokens, including all previous turns
	Answer       int           // tokens
	Due          time.Duration // since the start of the run
	SendsTrace   bool          // the client sends a trace context
	MarksRetries bool          // the client marks its retries
	Router       int           // index of the router for the first attempt
}

// ClientMix describes how the clients behave.
type ClientMix struct {
	TraceShare     float64 // share of sessions whose client sends traceparent
	RetryMarkShare float64 // share of sessions whose client marks retries
}

// Plan draws the requests of a run. Sessions start as a Poisson process, so that rate requests a second are due in total. The
// turns of a session are spaced by the duration of a response that meets its targets and a think time. The requests are
// returned in the order in which they are due.
func Plan(seed uint64, classes []Class, rate float64, length time.Duration, routers int, mix ClientMix) []Request {
	rnd := rand.New(rand.NewPCG(seed, 0xa0761d6478bd642f))
	between := func(r [2]float64) float64 { return r[0] + rnd.Float64()*(r[1]-r[0]) }
	var requests []Request
	for c := range classes {
		class := &classes[c]
		total := 0.0
		for _, other := range classes {
			total += other.Share
		}
		turns := (class.Turns[0] + class.Turns[1]) / 2
		sessions := rate * class.Share / total / turns  // per second
		prefixes := make([]int, max(class.Prefixes, 1)) // tokens of each prefix
		for i := range prefixes {
			prefixes[i] = int(between(class.PrefixTokens))
		}
		// Sessions that started earlier are in progress at the start of the run.
		warmUp := time.Duration(turns * float64(class.ThinkTime+class.TokenTarget*time.Duration(between(class.Answer))/2))
		for at := -warmUp.Seconds(); ; {
			if at += rnd.ExpFloat64() / sessions; at >= length.Seconds() {
				break
			}
			prefix := int(math.Floor(math.Pow(rnd.Float64(), 2) * float64(len(prefixes)))) // lower indexes are more popular
			session, prompt := rnd.Uint64()|1, prefixes[prefix]
			sendsTrace, marksRetries := rnd.Float64() < mix.TraceShare, rnd.Float64() < mix.RetryMarkShare
			due := time.Duration(at * float64(time.Second))
			for turn := range max(int(between(class.Turns)+rnd.Float64()), 1) {
				prompt += int(between(class.NewTokens))
				answer := max(int(between(class.Answer)), 1)
				if due >= 0 && due < length {
					requests = append(requests, Request{
						Class: class, Session: session, Turn: turn, Prefix: uint64(c+1)<<32 | uint64(prefix+1)<<1,
						PrefixTokens: prefixes[prefix], Prompt: prompt, Answer: answer, Due: due, SendsTrace: sendsTrace, MarksRetries: marksRetries,
						Router: rnd.IntN(max(routers, 1)),
					})
				}
				prompt += answer
				due += class.TokenTarget*time.Duration(answer)/2 + time.Duration(rnd.ExpFloat64()*float64(class.ThinkTime))
			}
		}
	}
	slices.SortStableFunc(requests, func(x, y Request) int { return cmp.Compare(x.Due, y.Due) })
	for i := range requests {
		requests[i].Number = i
	}
	return requests
}
