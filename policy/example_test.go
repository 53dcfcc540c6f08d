package policy_test

import (
	"fmt"
	"time"

	"notchhinge/policy"
)

// gateway stands for the operator's own code, which carries the decisions out.
type gateway struct{ policy.Actions }

func (gateway) Because(policy.RequestID, policy.Why) {}
func (gateway) Send(id policy.RequestID, to policy.ReplicaID, timeout time.Duration) {
	fmt.Printf("request %d goes to replica %d\n", id, to)
}

func Example() {
	b, err := policy.New(policy.Settings{
		Gateways: 1, Zones: 1,
		Classes:  []policy.Class{{Name: "chat", Aim: time.Second, Deadline: 10 * time.Second, Worth: 1}},
		Limits:   policy.Limits{MaxAttempts: 3},
		ColdFrom: 0.2, WarmUp: 20 * time.Second,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := policy.Time(0) // the gateway's own clock
	b.Listed(now, gateway{}, policy.List{Kind: policy.ListFull, Replicas: []policy.Replica{{ID: 7, Weight: 1}}})
	b.Arrive(now, gateway{}, policy.Request{ID: 1, Session: 99, ExpiresIn: 5 * time.Second})
	// Output: request 1 goes to replica 7
}
