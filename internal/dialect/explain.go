package dialect

import (
	"net/http"

	"notchhinge/internal/control/fleetconfig"
)

// Explanation describes how a request would be routed and admitted.
type Explanation struct {
	Revision    uint64                        `json:"revision"`
	Route       string                        `json:"route,omitempty"`
	Host        string                        `json:"hostname,omitempty"`
	Prefix      string                        `json:"path_prefix,omitempty"`
	Type        fleetconfig.RouteType         `json:"route_type,omitempty"`
	Tenant      string                        `json:"tenant,omitempty"`
	Split       []fleetconfig.WeightedService `json:"split,omitempty"`
	Service     string                        `json:"service,omitempty"` // selected for this request; a split may select another for the next
	Class       string                        `json:"class,omitempty"`
	Session     bool                          `json:"session"` // the request belongs to a session
	RemainingMS int64                         `json:"left_ms,omitempty"`
	Status      int                           `json:"status,omitempty"` // of the rejection; 0 = none
	Reason      string                        `json:"refused,omitempty"`
}

// Explain returns how a request with this head would be routed and admitted, without sending it.
func (d *Frontend) Explain(req *http.Request) *Explanation {
	out := &Explanation{}
	if config := d.Config(); config != nil {
		out.Revision = config.Revision
	}
	dst, rejection := d.Route(req)
	if rejection == nil {
		r := dst.DialectData.(*routedRequest)
		out.Route, out.Host, out.Prefix, out.Type, out.Split = r.route.Name, r.route.Hostname, r.route.PathPrefix, r.route.Type, r.route.Targets()
		out.Service = dst.Pool.Name
		if r.tenant != nil {
			out.Tenant = r.tenant.Name
		}
		built, buildRejection := d.BuildRequest(req, &dst, nil)
		rejection = buildRejection
		out.Session, out.RemainingMS = built.Policy.Session != 0, built.Policy.Timeout.Milliseconds()
		out.Class = ClassOf(r.route.Route).Name
	}
	if rejection != nil {
		out.Status, out.Reason = rejection.Status, rejection.Reason
	}
	return out
}
