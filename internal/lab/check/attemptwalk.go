package check

// depth says how far a walk goes.
type depth struct {
	engines, repeats int
	short            bool // second attempts meet an answer, a refusal, 421, 500, a reset and what comes from outside only
	fine             bool // a surplus answer is cut at every byte, and the second request is answered plainly; one event from outside
}

// everyLeg plays every life of two requests of given kinds at one engine or two, and returns the first fault and how many there were.
func everyLeg(breaks slips, d depth, first, second string) (found string, met int) {
	o := &odometer{}
	for {
		r := newRouter(o.pick, breaks, d.engines, d.repeats)
		if r.short, r.fine = d.short, d.fine; r.fine {
			r.outside = 1
		}
		r.life(first, second)
		met++
		if r.wrong != "" {
			return r.wrong, met
		}
		if !o.turn() {
			return "", met
		}
	}
}

// legs walks pairs of kinds of requests, at one engine and at two, with room for one repeat and for all.
func legs(breaks slips, pairs [][2]string, depths ...depth) (found string, met int) {
	for _, d := range depths {
		for _, p := range pairs {
			found, n := everyLeg(breaks, d, p[0], p[1])
			if met += n; found != "" {
				return found, met
			}
		}
	}
	return "", met
}

// legPairs are all pairs of kinds.
func legPairs() (all [][2]string) {
	for _, a := range legKinds {
		for _, b := range legKinds {
			all = append(all, [2]string{a, b})
		}
	}
	return all
}

// legsFine has the first request meet everything and the second only an answer.
func legsFine() []depth {
	return []depth{{engines: 2, fine: true}, {engines: 1, repeats: 9, fine: true}}
}

// legsShort has both meet everything.
func legsShort() []depth {
	return []depth{{engines: 1, repeats: 9, short: true}, {engines: 2, repeats: 1, short: true}}
}

// legSome are pairs in which each kind is once first and once second.
func legSome() [][2]string {
	all := legPairs()
	return [][2]string{all[1], all[5], all[6]}
}

// legsBroken are walks with a rule of the legs broken.
func legsBroken() (all []Walk) {
	for _, b := range []struct {
		name, first string
		slips
	}{
		{"an answer is taken for that of whoever waits", routeIdempotent, slips{blind: true}},
		{"an answer that broke off is ended as whole", routeStreaming, slips{whole: true}},
		{"what may not be repeated counts as what may", routeNonIdempotent, slips{safe: true}},
		{"a refusal promises, whatever has run", routeNonIdempotent, slips{promises: true}},
		{"a line is used again without a look at it", routeIdempotent, slips{unseen: true}},
		{"there is no budget for repeats", routeIdempotent, slips{lavish: true}},
	} {
		all = append(all, Walk{b.name, func(int) (string, int) { return legs(b.slips, [][2]string{{b.first, b.first}}, legsFine()...) }})
	}
	return all
}

// everyTwo walks two requests that both meet everything. It is long: the lives that it is told allow one pair of kinds, or all
// pairs, or all with second attempts that meet everything as well.
func everyTwo(lives int) (found string, met int) {
	pairs, depths := legSome()[:1], legsShort()[:1]
	if lives >= 100_000 {
		pairs, depths = legPairs(), legsShort()
	}
	if lives >= 10_000_000 {
		depths = []depth{{engines: 2, repeats: 9}}
	}
	return legs(slips{}, pairs, depths...)
}
