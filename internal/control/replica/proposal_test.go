package replica

import (
	"errors"
	"testing"
	"time"

	"notchhinge/internal/control/replog"
)

// TestInvalidEntriesAreNotProposed: a proposal of an entry that replicas would ignore fails without a write, and the
// next proposal proceeds.
func TestInvalidEntriesAreNotProposed(t *testing.T) {
	r := newSingle(true)
	r.Reduce(time.Second, Tick{})
	for name, value := range map[string][]byte{
		"an unknown kind":  {1, 99, 0, 0, 0, 0, 0, 0, 0, 0},
		"too many members": replog.Entry{Payload: replog.MembersChange{Members: make([]replog.Member, 65)}}.Encode(),
	} {
		next := func(*replog.State) []byte { return value }
		answers, writes := reduce(r, time.Second, Propose{Next: next, Request: 3, Deadline: 2 * time.Second}, true)
		if len(answers) != 1 || !errors.Is(answers[0].(ProposeDone).Err, ErrInvalidEntry) || writes > 0 {
			t.Errorf("%s: %+v, %d writes", name, answers, writes)
		}
	}
	index := r.State().NextIndex
	next := func(s *replog.State) []byte {
		if s.NextIndex > index {
			return nil
		}
		return replog.Entry{Payload: replog.Noop{}}.Encode()
	}
	answers, _ := reduce(r, time.Second, Propose{Next: next, Request: 4, Deadline: 2 * time.Second}, true)
	if len(answers) != 1 || answers[0].(ProposeDone).Err != nil || r.State().NextIndex != index+1 {
		t.Errorf("valid proposal after invalid ones: %+v", answers)
	}
}
