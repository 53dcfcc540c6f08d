package node

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/dialect"
)

// status is the response of /fleet/status. The command line tool and operators' scripts read its keys.
type status struct {
	Node         string `json:"node"`
	Zone         string `json:"zone"`
	Ready        string `json:"ready"`        // "yes", or why not
	ConfigIndex  uint64 `json:"place"`        // log index of the configuration in force
	NewestIndex  uint64 `json:"newest_place"` // highest announced log index of a configuration
	Peers        int    `json:"peers"`
	Replicas     int    `json:"keepers"`
	Endpoints    int    `json:"engines"`
	GossipItems  int    `json:"items"`
	Revision     uint64 `json:"revision"` // of the configuration that new requests use
	IsReplica    bool   `json:"keeper"`
	NextIndex    uint64 `json:"chain"` // number of log entries that this replica has applied
	HasVote      bool   `json:"votes"`
	Voters       int    `json:"members"`
	LeaseHolder  string `json:"holder"`
	FencingToken uint64 `json:"fence"`

	Traffic []metrics.Row   `json:"account"`
	Process metrics.Process `json:"machine"`
}

// Status implements api.Handler.
func (n *Node) Status() any {
	s := status{
		Node: n.cfg.NodeName, Zone: n.cfg.Zone, Ready: cmp.Or(n.notReadyReason(), "yes"),
		ConfigIndex: n.configs.currentIndex.Load(), NewestIndex: n.configs.newestIndex.Load(),
		Traffic: n.traffic.Rows(), Process: metrics.ReadProcess(),
	}
	if n.dataPlane != nil {
		if routes := n.dataPlane.routes.Load(); routes != nil {
			s.Revision = routes.Revision
		}
	}
	if n.replica != nil {
		state := n.replica.state()
		s.IsReplica, s.NextIndex = true, state.NextIndex
		s.HasVote, s.Voters = state.Member(n.replica.self.ID) != nil, len(state.Members)
		s.LeaseHolder, s.FencingToken = state.LeaseHolderName, state.FencingToken
	}
	n.discovery.mu.Lock()
	defer n.discovery.mu.Unlock()
	d := n.discovery.reducer
	s.Peers, s.Replicas = len(d.Gossip.Peers()), len(d.Gossip.Replicas())
	s.Endpoints, s.GossipItems = d.Endpoints.Len(), d.Gossip.ItemCount()
	return s
}

// EngineView is this process's view of an engine: an element of the response of /fleet/engines.
type EngineView struct {
	ID               string  `json:"id"`
	Service          string  `json:"service"`
	Zone             string  `json:"zone"`
	Address          string  `json:"address"`
	Revision         string  `json:"revision"`
	Slots            uint64  `json:"slots"`
	State            string  `json:"state"`   // ready, draining, silent, gone
	SinceHeartbeatS  float64 `json:"heard_s"` // seconds since its last heartbeat
	WarmupRemainingS float64 `json:"warm_in_s"`
	Explanation      string  `json:"says"` // why it receives requests or none
}

// Engines implements api.Handler.
func (n *Node) Engines() any {
	isConfigured := configuredServices(n.configs.config())
	n.discovery.mu.Lock()
	defer n.discovery.mu.Unlock()
	now, wallMS := n.discovery.clock(), time.Now().UnixMilli()
	all := []EngineView{}
	for e := range n.discovery.reducer.Endpoints.All() {
		v := EngineView{
			ID: e.ID, Service: e.Service, Zone: e.Zone, Address: e.Addr, Revision: e.Revision, Slots: e.Slots,
			SinceHeartbeatS: (now - e.LastHeartbeat).Seconds(), WarmupRemainingS: max(float64(e.WarmAtMS-wallMS)/1000, 0),
		}
		v.State, v.Explanation = explainEndpoint(e, isConfigured[e.Service], v.WarmupRemainingS > 0)
		all = append(all, v)
	}
	slices.SortFunc(all, func(x, y EngineView) int { return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.ID, y.ID)) })
	return all
}

// configuredServices returns the set of the service names of a configuration; c may be nil.
func configuredServices(c *fleetconfig.Config) map[string]bool {
	names := map[string]bool{}
	if c != nil {
		for i := range c.Services {
			names[c.Services[i].Name] = true
		}
	}
	return names
}

// explainEndpoint returns the state of an endpoint and its effect on requests, as texts for an operator.
func explainEndpoint(e *endpoints.Endpoint, isConfigured, isWarmingUp bool) (state, explanation string) {
	switch {
	case e.State == endpoints.StateGone:
		return "gone", "it has deregistered, or another engine has come at its address: it gets nothing"
	case e.Suspect:
		return "silent", "its heartbeats have stopped while others' came: it gets nothing"
	case e.State == endpoints.StateDraining:
		return "draining", "it gets nothing new; known sessions for a quarter of the drain time"
	case !isConfigured:
		return "ready", "no configuration here names its service: it gets nothing"
	case isWarmingUp:
		return "ready", "it is selected, with less weight while it warms up"
	default:
		return "ready", "it is selected"
	}
}

// Explain implements api.Handler. It returns how a request with this head would be routed.
func (n *Node) Explain(r *http.Request) any {
	type explanation struct {
		*dialect.Explanation
		Ready    []string `json:"ready,omitempty"`
		Draining []string `json:"draining,omitempty"`
	}
	if n.dataPlane == nil {
		return map[string]string{"refused": "no frontend here: ask a router"}
	}
	x := explanation{Explanation: n.dataPlane.dialect.Explain(r)}
	if x.Service == "" {
		return x
	}
	for _, e := range n.discovery.endpoints(x.Service) {
		if e.State == endpoints.StateDraining {
			x.Draining = append(x.Draining, e.ID)
		} else {
			x.Ready = append(x.Ready, e.ID)
		}
	}
	return x
}
