package frontend

import (
	"cmp"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/limits"
	"notchhinge/internal/testutil/replay"
)

func TestTraceContextOfTheClientIsTheOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := make(chan dispatch.Event, 16)
		s := New(Options{
			Limits:    limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024}, limits.Site{MaxDeadline: time.Second}),
			Directory: onePool("chat"), IsReady: func() bool { return true }, TraceRequests: true,
			Now:  func() time.Duration { return time.Hour },
			Post: func(e dispatch.Event) { events <- e },
		})
		serverConn, clientConn := net.Pipe()
		go s.ServeConn(serverConn)
		var open *openRequest
		replay.Play(t, clientConn, "testdata/parts/traced.txt", replay.Steps{
			"origin": func(want string) {
				e := (<-events).(dispatch.RequestReceived)
				open = e.Client.(*openRequest)
				got := fmt.Sprintf("%v %v %d %s", e.Origin.Trace, e.Origin.Span, e.Origin.Flags, cmp.Or(e.Origin.State, "-"))
				if got != want || e.Origin.FirstByte != time.Hour || !e.Origin.ReportsRejection {
					t.Errorf("origin %s, want %s: %+v", got, want, e.Origin)
				}
			},
			"reject": func(string) { go open.Reject(dispatch.VerdictRejected, time.Second/2) },
			"rejected": func(string) {
				if e := (<-events).(dispatch.RejectionWritten); e.Client != open || e.At != time.Hour {
					t.Errorf("event of the rejection: %+v", e)
				}
			},
		})
		clientConn.Close()
	})
}
