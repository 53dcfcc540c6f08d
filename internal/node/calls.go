package node

import (
	"notchhinge/internal/control/configcache"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/singleton"
)

// fetchSettled, with a texts.CallFetch, asks for the newest configuration that there is: a keeper says nothing before a majority
// has told it that there is no newer one. An earlier program takes no notice of it.
const fetchSettled byte = 1

// causeOf is what a call is for. The kinds of calls between processes are those of the state (core), of the duties (duty) and
// of configurations (texts); 6, 7, 12 and 13 were the operator's, passed on.
func causeOf(kind uint8) metrics.Cause {
	switch kind {
	case replica.CallPaxos, replica.CallLearn, replica.CallCommit:
		return metrics.Ballots
	case configcache.CallFetch:
		return metrics.Configs
	case singleton.CallReport, singleton.CallBook:
		return metrics.Reports
	case singleton.CallRenew, singleton.CallStand:
		return metrics.Leases
	}
	return metrics.States
}
