package policy_test

import (
	"fmt"
	"time"

	"notchhinge/policy"
)

// router implements policy.Actions; a real router executes the decisions.
type router struct{ policy.Actions }

func (router) Explain(policy.RequestID, policy.Reason) {}
func (router) Send(id policy.RequestID, to policy.ReplicaID, timeout time.Duration) {
	fmt.Printf("request %d goes to replica %d\n", id, to)
}

func Example() {
	b, err := policy.New(policy.Settings{
		Routers: 1, Zones: 1,
		Classes: []policy.Class{
			{Name: "chat", TargetLatency: time.Second, Deadline: 10 * time.Second, Value: 1},
		},
		Limits:           policy.Limits{MaxAttempts: 3},
		SlowStartInitial: 0.2, SlowStart: 20 * time.Second,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := policy.Time(0) // the router's clock
	b.ListUpdated(now, router{}, policy.List{
		Kind:     policy.ListFull,
		Replicas: []policy.Replica{{ID: 7, Weight: 1}},
	})
	b.RequestArrived(now, router{}, policy.Request{ID: 1, Session: 99, Timeout: 5 * time.Second})
	// Output: request 1 goes to replica 7
}
