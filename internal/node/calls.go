package node

import (
	"notchhinge/internal/control/account"
	"notchhinge/internal/control/core"
	"notchhinge/internal/control/duty"
	"notchhinge/internal/control/texts"
)

// fetchSettled, with a texts.CallFetch, asks for the newest configuration that there is: a keeper says nothing before a majority
// has told it that there is no newer one. An earlier program takes no notice of it.
const fetchSettled byte = 1

// causeOf is what a call is for. The kinds of calls between processes are those of the state (core), of the duties (duty) and
// of configurations (texts); 6, 7, 12 and 13 were the operator's, passed on.
func causeOf(kind uint8) account.Cause {
	switch kind {
	case core.CallAsk, core.CallLearn, core.CallChosen:
		return account.Ballots
	case texts.CallFetch:
		return account.Configs
	case duty.CallReport, duty.CallBook:
		return account.Reports
	case duty.CallRenew, duty.CallStand:
		return account.Leases
	}
	return account.States
}
