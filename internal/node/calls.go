package node

import (
	"notchhinge/internal/control/account"
	"notchhinge/internal/control/core"
)

// The kinds of calls between processes, but for those of the state (core). 6, 7, 12 and 13 were the operator's, passed on.
const (
	callFetch  uint8 = 5  // the newest configuration, where it is newer than a place
	callReport uint8 = 8  // a router's counts and loads: duty.Report, answered by duty.Word
	callBook   uint8 = 9  // what a keeper has heard of these, from a window up to another
	callRenew  uint8 = 11 // the holder asks for more time: its fence and its member
)

// causeOf is what a call is for.
func causeOf(kind uint8) account.Cause {
	switch kind {
	case core.CallAsk, core.CallLearn, core.CallChosen:
		return account.Ballots
	case callFetch:
		return account.Configs
	case callReport, callBook:
		return account.Reports
	case callRenew:
		return account.Leases
	}
	return account.States
}
