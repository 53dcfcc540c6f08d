package paxos

// RequestKind is the kind of a Request. Its values are on the wire.
type RequestKind uint8

// The kinds of requests.
const (
	KindPrepare RequestKind = iota + 1 // phase 1: promise to reject lower numbers
	KindAccept                         // phase 2: accept a value
	KindQuery                          // report what is known; no vote is cast, and the acceptor's state stays as it is
)

// Request is what a proposer sends to an acceptor.
type Request struct {
	Kind   RequestKind
	Index  uint64 // of the log
	Number ProposalNumber
	Value  []byte // with KindAccept
}

// Verdict is the outcome of a Request at one acceptor. Its values are on the wire.
type Verdict uint8

// The verdicts.
const (
	VerdictGranted       Verdict = iota + 1 // promised or accepted
	VerdictRejected                         // a higher number is promised: Response.Promised
	VerdictAlreadyChosen                    // the index is decided at the acceptor; Response.Value is the chosen value, or nil where that is compacted
	VerdictLagging                          // the acceptor has not learned all entries before the index
	VerdictNotVoter                         // the acceptor has no vote; its response to a query reports what it knows, but counts for no quorum
	VerdictReported                         // the response to a query by a voter
)

// Response is what an acceptor sends back.
type Response struct {
	Verdict   Verdict
	NextIndex uint64         // first index that the acceptor has not learned
	Promised  ProposalNumber // with VerdictRejected
	Accepted  ProposalNumber // granted prepare, query: number of the value accepted at NextIndex; zero = none
	Value     []byte         // granted prepare: the value accepted under Accepted; already chosen: the chosen value
}
