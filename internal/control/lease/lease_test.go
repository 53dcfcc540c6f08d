package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

// TestOneHolderAtATime checks that at most one holder has a valid lease, for random elections, requests and restarts of voters.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const duration = 3 * sec
		now := time.Minute
		voters := make([]Grants, 3)
		for i := range voters {
			voters[i] = Grants{Duration: duration, NeverGranted: true}
		}
		holders := map[uint64]*Holder{}
		var elected []uint64 // each may consider itself the holder
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			node := uint64(rapid.IntRange(1, 3).Draw(t, "node"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0: // a voter restarts and loses its grants
				voters[node-1] = Grants{Duration: duration, StartedAt: now}
			case 1: // a process is elected, regardless of valid leases
				elected = append(elected, node)
			default: // an elected process requests a lease
				if len(elected) == 0 {
					continue
				}
				node = elected[rapid.IntRange(0, len(elected)-1).Draw(t, "holder")]
				granted := 0
				for i := range voters {
					if rapid.Bool().Draw(t, "reached") && voters[i].Grant(now, node) {
						granted++
					}
				}
				if granted < 2 {
					continue
				}
				if holders[node] == nil {
					holders[node] = &Holder{Duration: duration, Margin: 300 * time.Millisecond}
				}
				holders[node].Extend(now)
				for id, h := range holders {
					if id != node && h.Remaining(now) > 0 {
						t.Fatalf("%d has a lease while that of %d is valid for another %v", node, id, h.Remaining(now))
					}
				}
			}
		}
	})
}
