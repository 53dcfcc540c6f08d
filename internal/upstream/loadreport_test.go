package upstream

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"notchhinge/policy"
)

func TestParseLoadReport(t *testing.T) {
	columns := []string{"x1", "err_ps"}
	for text, want := range map[string]policy.Report{
		"x1=1.5, err_ps=2":  {N: 2, Values: [4]float64{1.5, 2}},
		"err_ps=2,other=9":  {N: 2, Values: [4]float64{0, 2}},
		"x1=NaN":            {},
		"x1=1e999,err_ps=x": {},
		"":                  {},
		"nonsense":          {},
	} {
		if diff := cmp.Diff(want, ParseLoadReport(text, columns)); diff != "" {
			t.Errorf("ParseLoadReport(%q) (-want +got):\n%s", text, diff)
		}
	}
}
