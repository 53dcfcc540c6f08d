package check

import (
	"fmt"
	"io"
	"slices"

	"notchhinge/internal/control/paxos"
)

// Walk is one walk of the model checker.
type Walk struct {
	Name string
	// Run walks a number of seeds, if the walk is random. It returns the first violation ("" = none), and how many seeds, states
	// or points of failure it has visited.
	Run func(seeds int) (violation string, visited int)
}

// Walks returns the walks of the unbroken code, which must find no violation.
func Walks() []Walk {
	return []Walk{
		{"proposals, at random", func(seeds int) (string, int) { return randomProposals(func(*paxosCluster) {}, seeds) }},
		{"proposals, every order of messages and of a crash", func(int) (string, int) { return exploreOrders(1, 9) }},
		{"members, at random", func(seeds int) (string, int) { return randomMemberChanges(func(*memberCluster) {}, seeds) }},
		{"members, every order of six steps", func(int) (string, int) {
			return exploreMemberChanges(newMemberCluster(), memberBounds{proposals: 2, wipes: 1, entries: 2, depth: 6})
		}},
		{"a voter replaced, and another lost right after", func(seeds int) (string, int) { return randomReplacements(seeds, false) }},
		{"founding, with partitions", func(seeds int) (string, int) {
			for seed := range seeds {
				if sets := randomFounding(draws(seed), 3+seed%3, func(set int) int { return set }); len(sets) > 1 {
					return fmt.Sprintf("seed %d: founded twice: %v", seed, sets), seed
				}
			}
			return "", seeds
		}},
		{"two operators for one base revision, with partitions", func(seeds int) (string, int) { return randomRaces(seeds, false) }},
		{"operators under one revision, with responses lost", func(seeds int) (string, int) { return randomOperatorWalks(seeds, "") }},
		{"leases, while members are replaced in partitions", func(seeds int) (string, int) { return randomLeases(seeds, "") }},
		{"engines that drain, while processes crash", func(seeds int) (string, int) { return randomDrains(seeds, false) }},
		{"attempts, every order of events of one request", func(int) (string, int) { return exploreAttemptPairs(brokenRules{}, allKindPairs(), byteCutBounds()...) }},
		{"attempts, every order of events of two requests", exploreTwoRequests},
		{"power lost at every step of a store's writes", func(int) (string, int) {
			violations, losses := losePowerAtEachStep(false, 1)
			return firstError(violations), losses
		}},
		{"replicas that missed a thousand changes", walkCatchUp},
		{"power lost at every step of catch-up, snapshots altered", walkCatchUpFaults},
		{"writes refused at every second step", func(int) (string, int) { return firstError(refuseWritesAtEachStep(2)), 0 }},
	}
}

// BrokenWalks returns walks with a rule broken, each of which must find a violation.
func BrokenWalks() []Walk {
	members := func(breakRule func(*memberCluster)) func(int) (string, int) {
		return func(seeds int) (string, int) { return randomMemberChanges(breakRule, seeds) }
	}
	proposals := func(breakRule func(*paxosCluster)) func(int) (string, int) {
		return func(seeds int) (string, int) { return randomProposals(breakRule, seeds) }
	}
	catchUp := func(rule string) Walk {
		return Walk{rule, func(seeds int) (string, int) { return walkBrokenCatchUp(rule, seeds) }}
	}
	return append([]Walk{
		{"a voter loses its disk and keeps voting", proposals(func(p *paxosCluster) { p.losesDisk = true })},
		{"a voter responds before the sync", proposals(func(p *paxosCluster) { p.skipsSync = true })},
		{"a proposer reuses proposal numbers", proposals(func(p *paxosCluster) { p.reusesNumbers = true })},
		{"a machine that lost its disk keeps its ID", members(func(c *memberCluster) { c.keepsIDAfterWipe = true })},
		{"a change takes effect before it is chosen", members(func(c *memberCluster) { c.countsUnchosenChange = true })},
		{"a change counts as finished once it is chosen", func(seeds int) (string, int) { return randomReplacements(seeds, true) }},
		{"a majority of the founders is enough", func(seeds int) (string, int) {
			for seed := range seeds {
				if sets := randomFounding(draws(seed), 5, paxos.Majority); len(sets) > 1 {
					return fmt.Sprint(sets), seed
				}
			}
			return "", seeds
		}},
		{"a proposer takes any chosen value for its own", func(seeds int) (string, int) { return randomRaces(seeds, true) }},
		{"a drain is acknowledged before it is broadcast", func(seeds int) (string, int) { return randomDrains(seeds, true) }},
		catchUp(brokenBatch), catchUp(brokenOrder), catchUp(brokenReads), catchUp(brokenSnapshot), catchUp(brokenTimeout),
		{"a journal's file name is not synced", func(int) (string, int) {
			violations, losses := losePowerAtEachStep(true, 5)
			return firstError(violations), losses
		}},
	}, slices.Concat(brokenReplicaWalks(), brokenAttemptWalks())...)
}

// firstError returns the text of the first error; "" = none.
func firstError(errs []error) string {
	if len(errs) == 0 {
		return ""
	}
	return errs[0].Error()
}

// RunAll runs all walks with a number of seeds, and prints a line for each. It returns false if a walk finds a violation, or if
// one with a broken rule finds none.
func RunAll(seeds int, out io.Writer) bool {
	ok := true
	run := func(w Walk, expectViolation bool) {
		violation, visited := w.Run(seeds)
		verdict := "as expected"
		if (violation != "") != expectViolation {
			verdict, ok = "WRONG", false
		}
		fmt.Fprintf(out, "%-50s %9d  %s", w.Name, visited, verdict)
		if violation != "" {
			fmt.Fprintf(out, ": found %.150s", violation)
		}
		fmt.Fprintln(out)
	}
	for _, w := range Walks() {
		run(w, false)
	}
	fmt.Fprintln(out, "with a rule broken, which must be detected:")
	for _, w := range BrokenWalks() {
		run(w, true)
	}
	return ok
}
