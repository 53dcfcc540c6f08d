package paxos

// RequestKind is the kind of a Request. Its values are part of the wire format.
type RequestKind uint8

// The kinds of requests.
const (
	KindPrepare RequestKind = iota + 1 // phase 1: promise to reject lower numbers
	KindAccept                         // phase 2: accept a value
	KindQuery                          // report the acceptor's progress, without a vote or a change of state
)

// Request is what a proposer sends to an acceptor.
type Request struct {
	Kind   RequestKind
	Index  uint64 // log index
	Number ProposalNumber
	Value  []byte // only with KindAccept
}

// Verdict is the outcome of a Request at one acceptor. Its values are part of the wire format.
type Verdict uint8

// The verdicts.
const (
	VerdictGranted       Verdict = iota + 1 // promised or accepted
	VerdictRejected                         // a higher number has been promised: Response.Promised
	VerdictAlreadyChosen                    // the acceptor has learned the index; Response.Value is the chosen value, or nil if it is compacted
	VerdictLagging                          // the acceptor has not learned all entries before the index
	VerdictNotVoter                         // the acceptor has no vote; its response to a query reports its progress, but counts for no quorum
	VerdictReported                         // a voter's response to a query
)

// Response is the answer of an acceptor to a Request.
type Response struct {
	Verdict   Verdict
	NextIndex uint64         // first index that the acceptor has not learned
	Promised  ProposalNumber // with VerdictRejected
	Accepted  ProposalNumber // granted prepare, query: number of the value accepted at NextIndex; zero = none
	Value     []byte         // granted prepare: the value accepted under Accepted; already chosen: the chosen value
}
