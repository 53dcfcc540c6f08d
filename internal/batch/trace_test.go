package batch

import (
	"testing"
	"time"

	"notchhinge/internal/dispatch"
)

func TestAttemptsOfAnItemShareOneTrace(t *testing.T) {
	// Each item has its own trace. A retry belongs to the same trace and is marked as a retry. Without tracing, an item has no origin.
	r := newHarness(t, t.TempDir(), nil)
	r.job(fileText(2))
	out := r.after(0)
	if len(out) != 2 || r.origin(out[0].item) != nil {
		t.Fatalf("%d attempts, origin %v", len(out), r.origin(out[0].item))
	}
	r.Service.isTracing = true
	first, other := r.origin(out[0].item), r.origin(out[1].item)
	index := out[0].item.index
	out[0].Reject(dispatch.VerdictRejected, time.Second)
	retried := r.after(2 * time.Second)
	if len(retried) != 1 || retried[0].item.index != index {
		t.Fatalf("%d attempts after the rejected one", len(retried))
	}
	second := r.origin(retried[0].item)
	if first.Trace == other.Trace || first.Trace != second.Trace || first.Retry || !second.Retry || second.Team != "crews" ||
		second.CallID == first.CallID || second.CallID == "" {
		t.Errorf("first attempt %+v, retry %+v, another item %+v", first, second, other)
	}
}
