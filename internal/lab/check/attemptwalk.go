package check

// attemptBounds bounds a walk of request attempts.
type attemptBounds struct {
	engines, maxRetries int
	limitsRetryEvents   bool // retries meet common and external events only
	// cutsEveryByte truncates surplus responses at every byte. The second request then gets a normal response, and there is only
	// one external event.
	cutsEveryByte bool
}

// exploreAttempts runs every order of events of two requests of the given kinds. It returns the first violation and the number
// of runs.
func exploreAttempts(rules brokenRules, b attemptBounds, firstKind, secondKind string) (violation string, runs int) {
	choices := &choiceEnumerator{}
	for {
		r := newRouterWalk(choices.pick, rules, b.engines, b.maxRetries)
		if r.limitsRetryEvents, r.cutsEveryByte = b.limitsRetryEvents, b.cutsEveryByte; r.cutsEveryByte {
			r.externalEvents = 1
		}
		r.play(firstKind, secondKind)
		runs++
		if r.violation != "" {
			return r.violation, runs
		}
		if !choices.advance() {
			return "", runs
		}
	}
}

// exploreAttemptPairs runs exploreAttempts for each pair of kinds and each bounds.
func exploreAttemptPairs(rules brokenRules, pairs [][2]string, bounds ...attemptBounds) (violation string, runs int) {
	for _, b := range bounds {
		for _, p := range pairs {
			violation, n := exploreAttempts(rules, b, p[0], p[1])
			if runs += n; violation != "" {
				return violation, runs
			}
		}
	}
	return "", runs
}

// allKindPairs returns all pairs of request kinds.
func allKindPairs() (all [][2]string) {
	for _, a := range requestKinds {
		for _, b := range requestKinds {
			all = append(all, [2]string{a, b})
		}
	}
	return all
}

// byteCutBounds lets the first request meet every event, and the second one only a normal response.
func byteCutBounds() []attemptBounds {
	return []attemptBounds{{engines: 2, cutsEveryByte: true}, {engines: 1, maxRetries: 9, cutsEveryByte: true}}
}

// twoRequestBounds lets both requests meet every event.
func twoRequestBounds() []attemptBounds {
	return []attemptBounds{{engines: 1, maxRetries: 9, limitsRetryEvents: true}, {engines: 2, maxRetries: 1, limitsRetryEvents: true}}
}

// someKindPairs returns pairs in which each kind is first once and second once.
func someKindPairs() [][2]string {
	all := allKindPairs()
	return [][2]string{all[1], all[5], all[6]}
}

// brokenAttemptWalks returns walks that each break a rule of the router.
func brokenAttemptWalks() (all []Walk) {
	for _, b := range []struct {
		name, first string
		brokenRules
	}{
		{"any response is taken for that of the request", routeIdempotent, brokenRules{acceptsAnyResponse: true}},
		{"a truncated response is finished as complete", routeStreaming, brokenRules{hidesTruncation: true}},
		{"a non-idempotent request counts as idempotent", routeNonIdempotent, brokenRules{retriesEverything: true}},
		{"a rejection always claims not executed", routeNonIdempotent, brokenRules{claimsNotExecuted: true}},
		{"a connection is reused without an idle check", routeIdempotent, brokenRules{skipsIdleCheck: true}},
		{"retries are not limited by a budget", routeIdempotent, brokenRules{ignoresRetryBudget: true}},
	} {
		all = append(all, Walk{b.name, func(int) (string, int) {
			return exploreAttemptPairs(b.brokenRules, [][2]string{{b.first, b.first}}, byteCutBounds()...)
		}})
	}
	return all
}

// exploreTwoRequests walks two requests that both meet every event. The number of seeds selects the size of this long walk: one
// pair of kinds, all pairs, or all pairs with retries that meet every event as well.
func exploreTwoRequests(seeds int) (violation string, runs int) {
	pairs, bounds := someKindPairs()[:1], twoRequestBounds()[:1]
	if seeds >= 100_000 {
		pairs, bounds = allKindPairs(), twoRequestBounds()
	}
	if seeds >= 10_000_000 {
		bounds = []attemptBounds{{engines: 2, maxRetries: 9}}
	}
	return exploreAttemptPairs(brokenRules{}, pairs, bounds...)
}
