package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

// TestOneHolderAtATime plays members with leases and holders who were elected at any time: while one counts on its lease, no
// other does, whatever the members' starts.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const duration = 3 * sec
		now := time.Minute
		members := make([]Grants, 3)
		for i := range members {
			members[i] = Grants{Duration: duration, NeverGranted: true}
		}
		holders := map[uint64]*Holder{}
		var elected []uint64 // each may believe that it still is the holder
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			node := uint64(rapid.IntRange(1, 3).Draw(t, "node"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0: // a member starts again and has forgotten what it granted
				members[node-1] = Grants{Duration: duration, StartedAt: now}
			case 1: // somebody is elected, whatever leases there are
				elected = append(elected, node)
			default: // one who was elected asks for a lease
				if len(elected) == 0 {
					continue
				}
				node = elected[rapid.IntRange(0, len(elected)-1).Draw(t, "holder")]
				granted := 0
				for i := range members {
					if rapid.Bool().Draw(t, "reached") && members[i].Grant(now, node) {
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
						t.Fatalf("%d holds while %d holds for %v", node, id, h.Remaining(now))
					}
				}
			}
		}
	})
}
