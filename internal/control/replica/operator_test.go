package replica

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
)

// The smallest configurations with revisions 4, 5 and 7.
var (
	config4 = []byte("\xa3\x68revision\x04\x66routes\x80\x68services\x80")
	config5 = []byte("\xa3\x68revision\x05\x66routes\x80\x68services\x80")
	config7 = []byte("\xa3\x68revision\x07\x66routes\x80\x68services\x80")
)

// TestOperatorIsAnsweredByDeadline: a learner whose only voter is unreachable answers with status 503 by the deadline.
func TestOperatorIsAnsweredByDeadline(t *testing.T) {
	r := newSingle(false)
	r.Reduce(time.Second, ReplaceConfig{Request: 1, Config: config5, Deadline: 2 * time.Second})
	r.Reduce(time.Second, ReadConfig{Request: 2, Deadline: 2 * time.Second})
	answers := map[RequestID]api.Result{}
	for now := time.Second; now <= 2*time.Second+100*time.Millisecond; now += 10 * time.Millisecond {
		for _, f := range append([]Effect(nil), r.Reduce(now, Tick{})...) {
			switch f := f.(type) {
			case SendCall:
				r.Reduce(now, CallReturned{ID: f.ID, Err: errDiskWrite})
			case OperatorAnswer:
				answers[f.Request] = f.Result
			}
		}
	}
	if answers[1].Status != 503 || answers[2].Status != 503 {
		t.Errorf("answers %+v, want two with status 503", answers)
	}
}

// TestReplaceConfigStatus: each outcome of a configuration change has its HTTP status.
func TestReplaceConfigStatus(t *testing.T) {
	r := newSingle(true)
	answers, _ := reduce(r, time.Second, ReplaceConfig{Config: config5, Deadline: 2 * time.Second}, true)
	if len(answers) != 1 || answers[0].(OperatorAnswer).Status != 200 || r.State().Revision != 5 {
		t.Fatalf("%+v", answers)
	}
	for _, c := range []struct {
		name  string
		event ReplaceConfig
		want  api.Status
	}{
		{"the same again", ReplaceConfig{Config: config5}, 200},
		{"stale base", ReplaceConfig{BaseRevision: 3, Config: config7}, 412},
		{"revision too low", ReplaceConfig{BaseRevision: 5, Config: config4}, 400},
	} {
		c.event.Deadline = 3 * time.Second
		if answers, _ := reduce(r, 2*time.Second, c.event, true); len(answers) != 1 || answers[0].(OperatorAnswer).Status != c.want {
			t.Errorf("%s: got %+v, want %d", c.name, answers, c.want)
		}
	}
}

// TestOldConfigurationOnTheNewestBaseIsRejected guards against acknowledging a rollback that does not take effect: an order with the
// content of an earlier one, on top of the newest revision. Every replica rejects it, also one that has just started, and still
// acknowledges the repeats of both accepted orders.
func TestOldConfigurationOnTheNewestBaseIsRejected(t *testing.T) {
	c := newCluster(t, 3, 3)
	voters := c.running()
	requireOK(t, "revision 7 on 0", c.replaceConfig(voters[0], 0, 7))
	requireOK(t, "revision 9 on 7", c.replaceConfig(voters[1], 7, 9))
	learner := c.start(3, false)
	c.run(3 * time.Second)
	for _, r := range append(voters, learner) {
		for _, order := range []struct{ base, revision uint64 }{{9, 7}, {7, 7}, {8, 7}, {12, 7}, {0, 9}, {9, 9}} {
			if got := c.replaceConfig(r, order.base, order.revision); got.Status != api.StatusInvalid && got.Status != api.StatusStaleRevision {
				t.Errorf("%s: revision %d on %d: %+v, want a rejection", r.Self.Name, order.revision, order.base, got)
			}
		}
		requireOK(t, "revision 7 on 0 again", c.replaceConfig(r, 0, 7))
		requireOK(t, "revision 9 on 7 again", c.replaceConfig(r, 7, 9))
	}
	requireOK(t, "revision 10 on 9", c.replaceConfig(learner, 9, 10))
}

// TestOrderBeyondTheHistoryHasNoClearAnswer guards against rejecting an accepted order once the history has dropped it: it is neither
// acknowledged nor rejected, whether or not this release considers its configuration valid.
func TestOrderBeyondTheHistoryHasNoClearAnswer(t *testing.T) {
	r := newSingle(true)
	r.state.Revision = 1000
	for i := range uint64(64) {
		r.state.History = append(r.state.History, replog.AcceptedConfig{Revision: 1000 - 63 + i})
	}
	invalid5, err := cbor.Marshal(fleetconfig.Config{
		Revision: 5, Routes: []fleetconfig.Route{}, Services: []fleetconfig.Service{}, RequestLimits: fleetconfig.RequestLimits{MaxBodyBytes: -1},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, order := range []struct {
		base   uint64
		config []byte
		want   api.Status
	}{{4, config5, api.StatusUnavailable}, {4, invalid5, api.StatusUnavailable}, {5, invalid5, api.StatusInvalid}, {1000, config5, api.StatusInvalid}} {
		answers, _ := reduce(r, time.Second, ReplaceConfig{BaseRevision: order.base, Config: order.config, Deadline: 2 * time.Second}, true)
		if len(answers) != 1 || answers[0].(OperatorAnswer).Status != order.want {
			t.Errorf("revision 5 on %d: %+v, want %d", order.base, answers, order.want)
		}
	}
}

// TestSnapshotFormatOfEarlierRelease: a caller that does not send the formats that it reads receives the first format
// and can catch up.
func TestSnapshotFormatOfEarlierRelease(t *testing.T) {
	r := newSingle(true)
	for base := range uint64(200) {
		config, err := cbor.Marshal(fleetconfig.Config{Revision: base + 1, Routes: []fleetconfig.Route{}, Services: []fleetconfig.Service{}})
		if err != nil {
			t.Fatal(err)
		}
		answers, _ := reduce(r, time.Second, ReplaceConfig{BaseRevision: base, Config: config, Deadline: 2 * time.Second}, true)
		if len(answers) != 1 || answers[0].(OperatorAnswer).Status != 200 {
			t.Fatalf("revision %d: %+v", base+1, answers)
		}
	}
	for formats, want := range map[string]byte{"": 1, "\x01": 1, "\x02": 2, "\x09": 2} {
		answers, _ := reduce(r, time.Second, CallReceived{Kind: rpc.KindSnapshot, Body: EncodeIndexed(3, []byte(formats))}, true)
		b := answers[0].(SendReply).Body
		s, err := replog.DecodeState(b)
		if err != nil || b[0] != want || s.Revision != 200 || s.NextIndex != r.State().NextIndex {
			t.Errorf("caller reads %q: %v, got format %d, want %d", formats, err, b[0], want)
		}
	}
}
