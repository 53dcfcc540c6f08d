package upstream

import (
	"errors"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/dispatch"
	"notchhinge/policy"
)

// TestOutcomeOfEachResponse checks the outcome of an attempt for each kind of response. Dispatch enforces the timeout of attempts.
func TestOutcomeOfEachResponse(t *testing.T) {
	report := policy.Report{N: 2, Values: [4]float64{1.5, 7}}
	for name, want := range map[string]struct {
		result       policy.Result
		cachedTokens float64
		report       policy.Report
		writes       []string
	}{
		"served":          {policy.ResultOK, 4096, report, []string{firstEvent, lastEvents + reportComment, "complete"}},
		"served_split":    {policy.ResultOK, 4096, policy.Report{}, []string{firstEvent, lastEvents, "complete"}},
		"error":           {policy.ResultError, 0, report, nil},
		"full_503":        {policy.ResultFull, 0, policy.Report{}, nil},
		"full_504":        {policy.ResultFull, 0, policy.Report{}, nil},
		"unmarked_503":    {policy.ResultError, 0, policy.Report{}, nil},
		"other_status":    {policy.ResultError, 0, policy.Report{}, nil},
		"no_events":       {policy.ResultError, 0, policy.Report{}, nil},
		"reset":           {policy.ResultReset, 0, policy.Report{}, nil},
		"reset_in_head":   {policy.ResultReset, 0, policy.Report{}, nil},
		"reset_no_event":  {policy.ResultReset, 0, policy.Report{}, nil},
		"reset_in_stream": {policy.ResultReset, 0, policy.Report{}, []string{firstEvent, "broken"}},
		"bad_answer":      {policy.ResultError, 0, policy.Report{}, nil},
		"long_head":       {policy.ResultError, 0, policy.Report{}, nil},
		"stopped_head":    {policy.ResultError, 0, policy.Report{}, nil},
		"many_interim":    {policy.ResultError, 0, policy.Report{}, nil},
		"two_framings":    {policy.ResultError, 0, policy.Report{}, nil},
		"noise":           {policy.ResultError, 0, policy.Report{}, nil},
		"bad_chunk":       {policy.ResultError, 0, policy.Report{}, []string{firstEvent, "broken"}},
		"wide_chunk":      {policy.ResultError, 0, policy.Report{}, []string{firstEvent, "data: {}\n\n\r\n", "broken"}},
		"huge_chunk":      {policy.ResultError, 0, policy.Report{}, []string{firstEvent, "broken"}},
		"interim":         {policy.ResultOK, 4096, report, []string{firstEvent, lastEvents + reportComment, "complete"}},
		"bad_report":      {policy.ResultOK, 4096, report, []string{firstEvent, lastEvents + reportComment, "complete"}},
		"second_answer":   {policy.ResultOK, 4096, report, []string{firstEvent, lastEvents + reportComment, "complete"}},
		"cut_request":     {policy.ResultConnectFailed, 0, policy.Report{}, nil},
		"unframed":        {policy.ResultReset, 0, policy.Report{}, []string{firstEvent, "broken"}},
		"silent_stream":   {policy.ResultReset, 0, policy.Report{}, []string{firstEvent, "broken"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial, accepted := pipes()
				h, client := newHarness(dial), &downstream{body: []byte(`{"model":"chat"}`)}
				h.StartAttempt(startEffect(0, client))
				conn := <-accepted
				play(t, conn, name)
				synctest.Wait()
				conn.Close()
				h.Close()
				wantEnded := []dispatch.AttemptEnded{{Attempt: dispatch.AttemptID{Request: 1}, Result: want.result, CachedTokens: want.cachedTokens, Report: want.report}}
				if diff := cmp.Diff(wantEnded, h.ended); diff != "" {
					t.Errorf("outcome (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(want.writes, client.writes); diff != "" {
					t.Errorf("forwarded (-want +got):\n%s", diff)
				}
				if name == "second_answer" && len(h.events) != 0 {
					t.Errorf("a connection with unread bytes was kept: %v", h.events)
				}
			})
		})
	}
}

func TestCancelAttemptClosesItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial, accepted := pipes()
		h, client := newHarness(dial), &downstream{body: []byte(`{"model":"chat"}`)}
		h.StartAttempt(startEffect(0, client))
		conn := <-accepted
		play(t, conn, "request_sent")
		h.CancelAttempt(dispatch.AttemptID{Request: 1})
		play(t, conn, "is_closed")
		synctest.Wait()
		if len(h.ended) != 1 || h.conns.open != 0 || len(h.attempts) != 0 {
			t.Errorf("outcomes %v, %d open connections, %d running attempts", h.ended, h.conns.open, len(h.attempts))
		}
	})
}

func TestFailedWriteToClientCancelsTheAttempt(t *testing.T) {
	// The client has disconnected, so the attempt must not count as a failure of the endpoint.
	synctest.Test(t, func(t *testing.T) {
		dial, accepted := pipes()
		h, client := newHarness(dial), &downstream{body: []byte(`{"model":"chat"}`), writeErr: errors.New("gone")}
		h.StartAttempt(startEffect(0, client))
		conn := <-accepted
		play(t, conn, "unread")
		synctest.Wait()
		if diff := cmp.Diff([]dispatch.Event{dispatch.ClientLeft{Client: client}}, h.events, cmp.Comparer(func(x, y *downstream) bool { return x == y })); diff != "" {
			t.Errorf("events (-want +got):\n%s", diff)
		}
		if len(h.ended) != 1 || h.ended[0].Result != policy.ResultCancelled {
			t.Errorf("outcomes %v", h.ended)
		}
	})
}
