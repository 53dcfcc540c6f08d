// Package check is the model checker of the parts that must not be wrong. Each walk runs the real code in a simulated
// environment: proposals and changes of members in every order of events within bounds, and at random; founding under
// partitions; a store on a disk that loses, tears, reorders and refuses writes; operators, leases, drains and requests. CI
// walks a little way, notchlab check as far as its flags say.
//
// Each walk can be set to break a rule of the code or of its environment, and must then find a violation: a check that
// cannot fail checks nothing. A walk by seed has the same result every time, except where the database of a store compacts
// in the background. It is lab code, and pure.
package check

// draws returns a source of random numbers below n for a seed.
func draws(seed int) func(n int) int {
	x := uint64(seed)*0x9e3779b97f4a7c15 + 1
	return func(n int) int {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		return int(x % uint64(n))
	}
}
