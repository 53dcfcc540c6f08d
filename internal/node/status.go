package node

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/edge"
)

// Status implements api.Handler.
func (n *Node) Status() any {
	type status struct {
		Node     string `json:"node"`
		Zone     string `json:"zone"`
		Ready    string `json:"ready"`
		Place    uint64 `json:"place"`
		Wanted   uint64 `json:"newest_place"`
		Peers    int    `json:"peers"`
		Keepers  int    `json:"keepers"`
		Engines  int    `json:"engines"`
		Items    int    `json:"items"`
		Revision uint64 `json:"revision"`
		Keeper   bool   `json:"keeper"`
		Chain    uint64 `json:"chain"`   // places that a keeper knows
		Votes    bool   `json:"votes"`   // the keeper is a member
		Members  int    `json:"members"` // of the core, as the keeper knows them
		Holder   string `json:"holder"`  // of the duties
		Fence    uint64 `json:"fence"`

		Account []metrics.Row   `json:"account"` // what the process has sent and taken, by cause
		Machine metrics.Process `json:"machine"`
	}
	s := status{Node: n.cfg.NodeName, Zone: n.cfg.Zone, Ready: n.notReadyReason(), Place: n.currentIndex.Load(), Wanted: n.newestIndex.Load()}
	if s.Ready == "" {
		s.Ready = "yes"
	}
	s.Account, s.Machine = n.traffic.Rows(), metrics.ReadProcess()
	if n.dataPlane != nil {
		if at := n.dataPlane.routes.Load(); at != nil {
			s.Revision = at.Revision
		}
	}
	if n.replica != nil {
		st := n.replica.state()
		s.Keeper, s.Chain, s.Votes, s.Members = true, st.NextIndex, st.Member(n.replica.self.ID) != nil, len(st.Members)
		s.Holder, s.Fence = st.LeaseHolderName, st.FencingToken
	}
	n.discovery.mu.Lock()
	defer n.discovery.mu.Unlock()
	s.Peers, s.Keepers = len(n.discovery.reducer.Gossip.Peers()), len(n.discovery.reducer.Gossip.Replicas())
	s.Engines, s.Items = n.discovery.reducer.Endpoints.Len(), n.discovery.reducer.Gossip.ItemCount()
	return s
}

// EngineView is an engine as this process knows it, for the staff.
type EngineView struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Zone     string  `json:"zone"`
	Address  string  `json:"address"`
	Revision string  `json:"revision"`
	Slots    uint64  `json:"slots"`
	State    string  `json:"state"`   // ready, draining, silent, gone
	HeardS   float64 `json:"heard_s"` // ago
	WarmInS  float64 `json:"warm_in_s"`
	Says     string  `json:"says"` // why it gets requests, or none
}

// Engines implements api.Handler.
func (n *Node) Engines() any {
	c := n.config()
	n.discovery.mu.Lock()
	defer n.discovery.mu.Unlock()
	now, wall := n.discovery.clock(), time.Now().UnixMilli()
	all := []EngineView{}
	for e := range n.discovery.reducer.Endpoints.All() {
		v := EngineView{
			ID: e.ID, Service: e.Service, Zone: e.Zone, Address: e.Addr, Revision: e.Revision, Slots: e.Slots,
			HeardS: (now - e.LastHeartbeat).Seconds(), WarmInS: max(float64(e.WarmAtMS-wall)/1000, 0),
		}
		known := c != nil && slices.ContainsFunc(c.Services, func(s fleetconfig.Service) bool { return s.Name == e.Service })
		switch {
		case e.State == endpoints.StateGone:
			v.State, v.Says = "gone", "it has signed off, or another has come at its address: it gets nothing"
		case e.Suspect:
			v.State, v.Says = "silent", "others have been heard since and it has not: it gets nothing"
		case e.State == endpoints.StateDraining:
			v.State, v.Says = "draining", "it gets nothing new; known sessions for a quarter of the time to drain"
		case !known:
			v.State, v.Says = "ready", "no configuration here names its service: it gets nothing"
		case v.WarmInS > 0:
			v.State, v.Says = "ready", "it is drawn, and is slow at first"
		default:
			v.State, v.Says = "ready", "it is drawn"
		}
		all = append(all, v)
	}
	slices.SortFunc(all, func(x, y EngineView) int { return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.ID, y.ID)) })
	return all
}

// Explain implements api.Handler: what would become of a request, by its head.
func (n *Node) Explain(r *http.Request) any {
	type explained struct {
		*edge.Explanation
		Ready    []string `json:"ready,omitempty"`
		Draining []string `json:"draining,omitempty"`
	}
	if n.dataPlane == nil {
		return map[string]string{"refused": "no traffic is carried here: ask a router"}
	}
	x := explained{Explanation: n.dataPlane.dialect.Explain(r)}
	if x.Service != "" {
		for _, e := range n.discovery.endpoints(x.Service) {
			if e.State == endpoints.StateDraining {
				x.Draining = append(x.Draining, e.ID)
			} else {
				x.Ready = append(x.Ready, e.ID)
			}
		}
	}
	return x
}
