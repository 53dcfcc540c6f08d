// Package check is a model checker for the parts of the program whose correctness is critical. Each walk runs the real code
// in a simulated environment: Paxos proposals and membership changes, in every order of events within bounds and at random;
// founding under partitions; a store on a disk that loses, truncates, reorders and refuses writes; operators' changes, leases,
// drains and request attempts. CI runs short walks; the flags of notchlab check set longer ones.
//
// Each walk can be run with a rule of the code or of its environment broken on purpose, and must then find a violation. This
// shows that the walk can fail. A walk by seed is reproducible, except where the database of a store compacts in the
// background. The package is lab code, and pure.
package check

// draws returns a function that draws pseudo-random numbers below n, reproducible by seed.
func draws(seed int) func(n int) int {
	x := uint64(seed)*0x9e3779b97f4a7c15 + 1
	return func(n int) int {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		return int(x % uint64(n))
	}
}
