// Package load is the lab's clients: what they ask is drawn ahead, they ask it when it is due, whatever became of what
// they asked before, and a ledger keeps what each was promised, sent and got. It knows nothing of the router's insides.
package load

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Class is one class of requests, with the figures that the deployment's page gives of it.
type Class struct {
	Name          string
	Share         float64    // of requests, against the others'
	Worth         float64    // of an answer in time
	Turns         [2]float64 // of a session, from and to
	New           [2]float64 // tokens that a turn adds
	Answer        [2]float64 // tokens of an answer
	Opening       [2]float64
	Openings      int           // shared beginnings that there are
	Think         time.Duration // between an answer and the next turn
	Aim           time.Duration
	AimPerKTokens time.Duration
	TokenAim      time.Duration
	Deadline      time.Duration
}

// Classes are those of the deployment's page, with times divided by speed and answers and openings cut to size (1 = as
// they are).
func Classes(speed, size float64) []Class {
	t := func(d time.Duration) time.Duration { return time.Duration(float64(d) / speed) }
	n := func(from, to float64) [2]float64 { return [2]float64{max(from*size, 1), max(to*size, 2)} }
	const ms = time.Millisecond
	return []Class{
		{
			Name: "shift-agent", Share: 0.49, Worth: 5, Turns: [2]float64{4.1, 7.4}, New: n(220, 710), Answer: n(56, 120),
			Opening: n(4500, 7900), Openings: 12, Think: t(3 * time.Second), Aim: t(2500 * ms), AimPerKTokens: t(40 * ms),
			TokenAim: t(60 * ms), Deadline: t(12 * time.Second),
		},
		{
			Name: "doc-lookup", Share: 0.30, Worth: 3, Turns: [2]float64{1.2, 2.9}, New: n(100, 280), Answer: n(62, 200),
			Opening: n(3300, 5800), Openings: 8, Think: t(4 * time.Second), Aim: t(1500 * ms), AimPerKTokens: t(40 * ms),
			TokenAim: t(80 * ms), Deadline: t(6 * time.Second),
		},
		{
			Name: "batch-summary", Share: 0.21, Worth: 3, Turns: [2]float64{1.1, 1.3}, New: n(560, 2000), Answer: n(35, 110),
			Opening: n(240, 970), Openings: 30, Think: t(2 * time.Second), Aim: t(2500 * ms), AimPerKTokens: t(60 * ms),
			TokenAim: t(50 * ms), Deadline: t(12 * time.Second),
		},
	}
}

// Request is one question of a client: a step, with as many tries as it takes.
type Request struct {
	Number  int
	Class   *Class
	Session uint64
	Turn    int
	Prefix  uint64
	Opening int // tokens
	Prompt  int // tokens, all turns before included
	Answer  int // tokens
	Due     time.Duration
	Carries bool // the client sends a trace context of its own
	Marks   bool // and marks its retries
	Router  int  // which the front gives it first
}

// Style is how clients are.
type Style struct {
	Carry float64 // share of sessions whose client sends traceparent
	Mark  float64 // share of sessions whose client marks retries
}

// Plan draws the calls of a run: sessions begin evenly at random, at rate calls a second in all, until the end; turns
// follow one another by the time that a good answer takes and a think time. The calls are in the order in which they
// are due.
func Plan(seed uint64, classes []Class, rate float64, length time.Duration, routers int, style Style) []Request {
	rnd := rand.New(rand.NewPCG(seed, 0xa0761d6478bd642f))
	between := func(r [2]float64) float64 { return r[0] + rnd.Float64()*(r[1]-r[0]) }
	var calls []Request
	for c := range classes {
		k := &classes[c]
		total := 0.0
		for _, other := range classes {
			total += other.Share
		}
		turns := (k.Turns[0] + k.Turns[1]) / 2
		sessions := rate * k.Share / total / turns // a second
		openings := make([]int, max(k.Openings, 1))
		for i := range openings {
			openings[i] = int(between(k.Opening))
		}
		// Sessions that began earlier are under way at the start.
		reach := time.Duration(turns * float64(k.Think+k.TokenAim*time.Duration(between(k.Answer))/2))
		for at := -reach.Seconds(); ; {
			if at += rnd.ExpFloat64() / sessions; at >= length.Seconds() {
				break
			}
			opening := int(math.Floor(math.Pow(rnd.Float64(), 2) * float64(len(openings)))) // the first ones are popular
			session, prompt := rnd.Uint64()|1, openings[opening]
			carries, marks := rnd.Float64() < style.Carry, rnd.Float64() < style.Mark
			due := time.Duration(at * float64(time.Second))
			for turn := range max(int(between(k.Turns)+rnd.Float64()), 1) {
				prompt += int(between(k.New))
				answer := max(int(between(k.Answer)), 1)
				if due >= 0 && due < length {
					calls = append(calls, Request{
						Class: k, Session: session, Turn: turn, Prefix: uint64(c+1)<<32 | uint64(opening+1)<<1,
						Opening: openings[opening], Prompt: prompt, Answer: answer, Due: due, Carries: carries, Marks: marks,
						Router: rnd.IntN(max(routers, 1)),
					})
				}
				prompt += answer
				due += k.TokenAim*time.Duration(answer)/2 + time.Duration(rnd.ExpFloat64()*float64(k.Think))
			}
		}
	}
	slices.SortStableFunc(calls, func(x, y Request) int { return cmp.Compare(x.Due, y.Due) })
	for i := range calls {
		calls[i].Number = i
	}
	return calls
}
