package route

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestExplainGivesTheReasonOfEveryRoute(t *testing.T) {
	table := newTable(t, Route{Service: "runs", Host: "runs.example.org", Method: "POST"}, Route{Service: "rest", Host: "*.example.org"},
		Route{Service: "calib", Host: "calib.example.org", Class: "fit"})
	var got []string
	for _, c := range table.Explain(&Query{Host: "runs.example.org", Path: "/x", Method: "POST"}, 9) {
		got = append(got, c.Route.Service+": "+c.Reason)
	}
	want := []string{
		"runs: wins: host runs.example.org, method POST", "rest: loses: the winner's host is exact",
		`calib: does not match: host runs.example.org is not calib.example.org; class "" is not "fit"`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if methods := table.AllowedMethods(&Query{Host: "runs.example.org", Path: "/x", Method: "GET"}); !cmp.Equal(methods, []string{"POST"}) {
		t.Errorf("methods %v", methods)
	}
}
