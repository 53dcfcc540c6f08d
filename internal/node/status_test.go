package node

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/control/endpoints"
)

// TestStatusKeysStay: operators' scripts and the command line tool read these keys of /fleet/status and /fleet/engines.
func TestStatusKeysStay(t *testing.T) {
	for _, c := range []struct {
		value any
		want  []string
	}{
		{status{}, []string{
			"account", "chain", "engines", "fence", "holder", "items", "keeper", "keepers", "machine", "members", "newest_place", "node",
			"peers", "place", "ready", "revision", "votes", "zone",
		}},
		{EngineView{}, []string{"address", "heard_s", "id", "revision", "says", "service", "slots", "state", "warm_in_s", "zone"}},
	} {
		b, err := json.Marshal(c.value)
		if err != nil {
			t.Fatal(err)
		}
		var keys map[string]any
		if err := json.Unmarshal(b, &keys); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(c.want, slices.Sorted(maps.Keys(keys))); diff != "" {
			t.Errorf("keys of %T (-want +got):\n%s", c.value, diff)
		}
	}
}

// TestEndpointIsExplainedByItsWorstState: an endpoint to which several states apply is reported in the one that excludes it
// from requests.
func TestEndpointIsExplainedByItsWorstState(t *testing.T) {
	gone := endpoints.Endpoint{Record: endpoints.Record{State: endpoints.StateGone}, Suspect: true}
	suspect := endpoints.Endpoint{Record: endpoints.Record{State: endpoints.StateDraining}, Suspect: true}
	draining := endpoints.Endpoint{Record: endpoints.Record{State: endpoints.StateDraining}}
	for _, c := range []struct {
		endpoint     endpoints.Endpoint
		isConfigured bool
		want         string
	}{
		{gone, true, "gone"}, {suspect, true, "silent"}, {draining, false, "draining"}, {endpoints.Endpoint{}, false, "ready"}, {endpoints.Endpoint{}, true, "ready"},
	} {
		if state, explanation := explainEndpoint(&c.endpoint, c.isConfigured, true); state != c.want || explanation == "" {
			t.Errorf("%+v: state %s (%s), want %s", c.endpoint, state, explanation, c.want)
		}
	}
}
