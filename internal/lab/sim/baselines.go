package sim

import (
	"slices"
	"time"

	"notchhinge/internal/lab/model"
)

// choose has a baseline send a request to an engine that it has not been sent to, or refuse it.
func (w *world) choose(c *call) {
	if c.state != open {
		return
	}
	r := w.routers[c.router]
	var can []int
	for k := range w.engines {
		if r.alive[k] && !slices.Contains(c.tried, k) {
			can = append(can, k)
		}
	}
	if len(can) == 0 || len(c.tried) >= attempts {
		c.state = refused
		return
	}
	k := can[0]
	switch w.Variant {
	case "random":
		k = can[w.own.IntN(len(can))]
	case "least":
		at := w.own.IntN(len(can)) // of equals a drawn one
		k = can[at]
		for i := range can {
			if x := can[(at+i)%len(can)]; r.count[x] < r.count[k] {
				k = x
			}
		}
	case "two":
		a, b := can[w.own.IntN(len(can))], can[w.own.IntN(len(can))]
		if k = a; r.count[b] < r.count[a] {
			k = b
		}
	case "hash":
		k = w.hashed(r, c, can)
	case "oracle":
		k = w.oracle(c, can)
	}
	c.tried = append(c.tried, k)
	c.legs++
	r.count[k]++
	r.total++
	w.plan(event{at: w.now + w.delay(c.router, k), kind: reaches, leg: &leg{c: c, engine: k}})
}

// leave notes that a baseline's leg is over.
func (w *world) leave(l *leg) {
	r := w.routers[l.c.router]
	r.count[l.engine]--
	r.total--
}

// hashed is consistent hashing with bounded loads: the next engine on the ring that has no more than a quarter above its part.
func (w *world) hashed(r *router, c *call, can []int) int {
	most := float64(r.total+1) * 1.25 / float64(len(can))
	at, _ := slices.BinarySearchFunc(w.ring, mix(uint64(c.prefix)+1, 5), func(p point, h uint64) int {
		if p.hash < h {
			return -1
		}
		return 1
	})
	for i := range w.ring {
		k := w.ring[(at+i)%len(w.ring)].engine
		if slices.Contains(can, k) && float64(r.count[k]) < max(most, 1) {
			return k
		}
	}
	return can[0]
}

// oracle knows what every engine has to do, and which beginnings it was asked for lately: the one that would answer first.
func (w *world) oracle(c *call, can []int) int {
	p := model.Default(1)
	best, least := can[0], time.Duration(1<<62)
	for _, k := range can {
		g := w.engines[k]
		if g.dead {
			continue
		}
		run, wait, unread := g.Load()
		read := float64(unread + own)
		if _, ok := g.known[c.prefix]; !ok {
			read += shared
		}
		cost := time.Duration(read/p.ReadPerS*float64(time.Second)) + time.Duration(run)*p.PerSeq*4
		if run+wait >= slots {
			cost += time.Duration(run+wait-slots+1) * 100 * time.Millisecond
		}
		if cost < least {
			best, least = k, cost
		}
	}
	g := w.engines[best]
	g.known[c.prefix] = w.now
	if len(g.known) > 80 { // about what its memory holds
		oldest, at := -1, w.now
		for prefix, when := range g.known {
			if when < at || when == at && prefix > oldest {
				oldest, at = prefix, when
			}
		}
		delete(g.known, oldest)
	}
	return best
}
