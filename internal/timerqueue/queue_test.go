package timerqueue

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestValuesLeaveInOrderOfTheirDueTime(t *testing.T) {
	q := New[string]()
	q.Add(3*time.Second, "late")
	first := q.Add(time.Second, "removed")
	q.Add(time.Second, "a")
	q.Add(time.Second, "b")
	q.Remove(first)
	q.Remove(Key{}) // the zero Key removes nothing
	if at, ok := q.NextDue(); at != time.Second || !ok {
		t.Errorf("NextDue returned %v, %v", at, ok)
	}
	var got []string
	for v, ok := q.PopDue(2 * time.Second); ok; v, ok = q.PopDue(2 * time.Second) {
		got = append(got, v)
	}
	if diff := cmp.Diff([]string{"a", "b"}, got); diff != "" || q.Len() != 1 {
		t.Errorf("values due, %d left (-want +got):\n%s", q.Len(), diff)
	}
}
