package upstream

import (
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/dispatch"
	"notchhinge/policy"
)

func TestHealthCheckResults(t *testing.T) {
	for name, want := range map[string]dispatch.ProbeDone{
		"probe_ok":     {Result: policy.ResultOK, Report: policy.Report{N: 2, Values: [4]float64{0.25, 3}}},
		"probe_error":  {Result: policy.ResultError},
		"probe_silent": {Result: policy.ResultTimedOut},
		"probe_reset":  {Result: policy.ResultReset},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial, accepted := pipes()
				h := newHarness(dial)
				h.startHealthCheck(dispatch.SendProbe{Host: 5, Addr: "d"})
				conn := <-accepted
				play(t, conn, name)
				synctest.Wait()
				conn.Close()
				h.Close()
				want.Host = 5
				var got []dispatch.Event
				for _, e := range h.events {
					if done, ok := e.(dispatch.ProbeDone); ok {
						got = append(got, done)
					}
				}
				if diff := cmp.Diff([]dispatch.Event{want}, got); diff != "" {
					t.Errorf("health check (-want +got):\n%s", diff)
				}
			})
		})
	}
}
