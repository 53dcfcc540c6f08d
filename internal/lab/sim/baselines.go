package sim

import (
	"slices"
	"time"

	"notchhinge/internal/lab/model"
)

// chooseEngine sends a request to an engine that the baseline chooses among those not tried yet. It rejects the request if there is
// none, or after maxAttempts.
func (w *world) chooseEngine(req *request) {
	if req.state != pending {
		return
	}
	r := w.routers[req.router]
	var candidates []int
	for k := range w.engines {
		if r.alive[k] && !slices.Contains(req.tried, k) {
			candidates = append(candidates, k)
		}
	}
	if len(candidates) == 0 || len(req.tried) >= maxAttempts {
		req.state = rejected
		return
	}
	k := candidates[0]
	switch w.Variant {
	case "random":
		k = candidates[w.baselineRand.IntN(len(candidates))]
	case "least":
		at := w.baselineRand.IntN(len(candidates)) // ties are broken at random
		k = candidates[at]
		for i := range candidates {
			if x := candidates[(at+i)%len(candidates)]; r.inFlight[x] < r.inFlight[k] {
				k = x
			}
		}
	case "two":
		a, b := candidates[w.baselineRand.IntN(len(candidates))], candidates[w.baselineRand.IntN(len(candidates))]
		if k = a; r.inFlight[b] < r.inFlight[a] {
			k = b
		}
	case "hash":
		k = w.chooseBoundedHash(r, req, candidates)
	case "oracle":
		k = w.chooseOracle(req, candidates)
	}
	req.tried = append(req.tried, k)
	req.attempts++
	r.inFlight[k]++
	r.totalInFlight++
	w.schedule(event{at: w.now + w.delay(req.router, k), kind: attemptArrives, attempt: &attempt{request: req, engine: k}})
}

// releaseAttempt releases the in-flight count of an attempt of a baseline.
func (w *world) releaseAttempt(a *attempt) {
	r := w.routers[a.request.router]
	r.inFlight[a.engine]--
	r.totalInFlight--
}

// chooseBoundedHash implements consistent hashing with bounded loads: it chooses the next engine on the ring that has at most
// 1.25 times the mean load.
func (w *world) chooseBoundedHash(r *router, req *request, candidates []int) int {
	limit := float64(r.totalInFlight+1) * 1.25 / float64(len(candidates))
	at, _ := slices.BinarySearchFunc(w.ring, mix(uint64(req.prefix)+1, 5), func(p ringPoint, h uint64) int {
		if p.hash < h {
			return -1
		}
		return 1
	})
	for i := range w.ring {
		k := w.ring[(at+i)%len(w.ring)].engine
		if slices.Contains(candidates, k) && float64(r.inFlight[k]) < max(limit, 1) {
			return k
		}
	}
	return candidates[0]
}

// chooseOracle chooses the engine with the earliest estimated first token. It knows the load of every engine and the
// prefixes that it has sent to each lately.
func (w *world) chooseOracle(req *request, candidates []int) int {
	p := model.Default(1)
	best, least := candidates[0], time.Duration(1<<62)
	for _, k := range candidates {
		g := w.engines[k]
		if g.dead {
			continue
		}
		run, wait, unprefilled := g.Load()
		prefillTokens := float64(unprefilled + suffixTokens)
		if _, ok := g.oraclePrefixes[req.prefix]; !ok {
			prefillTokens += prefixTokens
		}
		cost := time.Duration(prefillTokens/p.PrefillPerSecond*float64(time.Second)) + time.Duration(run)*p.StepPerSequence*4
		if run+wait >= engineSlots {
			cost += time.Duration(run+wait-engineSlots+1) * 100 * time.Millisecond
		}
		if cost < least {
			best, least = k, cost
		}
	}
	g := w.engines[best]
	g.oraclePrefixes[req.prefix] = w.now
	if len(g.oraclePrefixes) > 80 { // about as many prefixes as an engine caches
		oldest, at := -1, w.now
		for prefix, when := range g.oraclePrefixes {
			if when < at || when == at && prefix > oldest {
				oldest, at = prefix, when
			}
		}
		delete(g.oraclePrefixes, oldest)
	}
	return best
}
