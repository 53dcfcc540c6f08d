package check

import (
	"fmt"
	"io"
	"slices"

	"notchhinge/internal/control/paxos"
)

// Walk is a walk through lives.
type Walk struct {
	Name string
	// Far returns what was found wrong ("" = nothing) and how many lives, states or points it has met.
	Far func(lives int) (found string, met int)
}

// Walks are all walks, none of which may find anything.
func Walks() []Walk {
	return []Walk{
		{"proposals, at random", func(lives int) (string, int) { return randomProposals(func(*paxosCluster) {}, lives) }},
		{"proposals, every order of messages and of a crash", func(int) (string, int) { return exploreOrders(1, 9) }},
		{"members, at random", func(lives int) (string, int) { return randomMemberChanges(func(*memberCluster) {}, lives) }},
		{"members, every order of six steps", func(int) (string, int) {
			return exploreMemberChanges(newMemberCluster(), memberBounds{proposals: 2, wipes: 1, entries: 2, depth: 6})
		}},
		{"a voter replaced, and another lost right after", func(lives int) (string, int) { return randomReplacements(lives, false) }},
		{"founding, with partitions", func(lives int) (string, int) {
			for seed := range lives {
				if sets := randomFounding(draws(seed), 3+seed%3, func(set int) int { return set }); len(sets) > 1 {
					return fmt.Sprintf("seed %d: founded twice: %v", seed, sets), seed
				}
			}
			return "", lives
		}},
		{"two operators for one base revision, with partitions", func(lives int) (string, int) { return randomRaces(lives, false) }},
		{"operators under one revision, with answers lost", func(lives int) (string, int) { return randomOperatorWalks(lives, "") }},
		{"leases, while members are replaced in cuts", func(lives int) (string, int) { return leases(lives, "") }},
		{"engines that drain, while processes crash", func(lives int) (string, int) { return draining(lives, false) }},
		{"legs, every order of events of one request and one more", func(int) (string, int) { return legs(slips{}, legPairs(), legsFine()...) }},
		{"legs, every order of events of two requests", everyTwo},
		{"power lost at every step of a store's writes", func(int) (string, int) {
			faults, points := losePowerAtEachStep(false, 1)
			return first(faults), points
		}},
		{"replicas away for a thousand changes", walkCatchUp},
		{"power lost at every step of catching up, snapshots altered", walkCatchUpFaults},
		{"writes refused at every second step", func(int) (string, int) { return first(refuseWritesAtEachStep(2)), 0 }},
	}
}

// Broken are the same with a rule broken: each must find it.
func Broken() []Walk {
	members := func(breaks func(*memberCluster)) func(int) (string, int) {
		return func(lives int) (string, int) { return randomMemberChanges(breaks, lives) }
	}
	proposals := func(breaks func(*paxosCluster)) func(int) (string, int) {
		return func(lives int) (string, int) { return randomProposals(breaks, lives) }
	}
	broken := func(rule string) Walk {
		return Walk{rule, func(lives int) (string, int) { return walkBrokenCatchUp(rule, lives) }}
	}
	return append([]Walk{
		{"a voter loses its disk and votes on", proposals(func(w *paxosCluster) { w.losesDisk = true })},
		{"a voter responds before the sync", proposals(func(w *paxosCluster) { w.skipsSync = true })},
		{"a proposer uses numbers again", proposals(func(w *paxosCluster) { w.reusesNumbers = true })},
		{"a machine without its disk keeps its id", members(func(c *memberCluster) { c.keepsIDAfterWipe = true })},
		{"a change counts before it is chosen", members(func(c *memberCluster) { c.countsUnchosenChange = true })},
		{"a change counts as finished once it is chosen", func(lives int) (string, int) { return randomReplacements(lives, true) }},
		{"a majority of the founders is enough", func(lives int) (string, int) {
			for seed := range lives {
				if sets := randomFounding(draws(seed), 5, paxos.Majority); len(sets) > 1 {
					return fmt.Sprint(sets), seed
				}
			}
			return "", lives
		}},
		{"a chosen value is taken for one's own", func(lives int) (string, int) { return randomRaces(lives, true) }},
		{"a drain is acknowledged before others know", func(lives int) (string, int) { return draining(lives, true) }},
		broken(brokenBatch), broken(brokenOrder), broken(brokenReads), broken(brokenSnapshot), broken(brokenTimeout),
		{"a journal's name is not synced", func(int) (string, int) {
			faults, points := losePowerAtEachStep(true, 5)
			return first(faults), points
		}},
	}, slices.Concat(brokenSites(), legsBroken())...)
}

func first(faults []error) string {
	if len(faults) == 0 {
		return ""
	}
	return faults[0].Error()
}

// All walks all walks so many lives far, says what comes of each, and tells whether all is as it must be.
func All(lives int, out io.Writer) bool {
	good := true
	say := func(w Walk, wanted bool) {
		found, met := w.Far(lives)
		verdict := "as it must be"
		if (found != "") != wanted {
			verdict, good = "WRONG", false
		}
		fmt.Fprintf(out, "%-50s %9d  %s", w.Name, met, verdict)
		if found != "" {
			fmt.Fprintf(out, ": found %.150s", found)
		}
		fmt.Fprintln(out)
	}
	for _, w := range Walks() {
		say(w, false)
	}
	fmt.Fprintln(out, "with a rule broken, which must be found:")
	for _, w := range Broken() {
		say(w, true)
	}
	return good
}
