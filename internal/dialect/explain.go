package dialect

import (
	"net/http"

	"notchhinge/internal/control/fleetconfig"
)

// Explanation is what would become of a request.
type Explanation struct {
	Revision    uint64                        `json:"revision"`
	Route       string                        `json:"route,omitempty"`
	Host        string                        `json:"hostname,omitempty"`
	Prefix      string                        `json:"path_prefix,omitempty"`
	Type        fleetconfig.RouteType         `json:"route_type,omitempty"`
	Tenant      string                        `json:"tenant,omitempty"`
	Split       []fleetconfig.WeightedService `json:"split,omitempty"`
	Service     string                        `json:"service,omitempty"` // of a split, this time's
	Class       string                        `json:"class,omitempty"`
	Session     bool                          `json:"session"` // known sessions go by the table, others are drawn
	RemainingMS int64                         `json:"left_ms,omitempty"`
	Status      int                           `json:"status,omitempty"` // it is refused with
	Reason      string                        `json:"refused,omitempty"`
}

// Explain says what would become of a request, by its head. Nothing is sent or kept.
func (d *Frontend) Explain(req *http.Request) *Explanation {
	x := &Explanation{}
	if at := d.Config(); at != nil {
		x.Revision = at.Revision
	}
	w, no := d.Route(req)
	if no == nil {
		r := w.DialectData.(*routedRequest)
		x.Route, x.Host, x.Prefix, x.Type, x.Split = r.route.Name, r.route.Hostname, r.route.PathPrefix, r.route.Type, r.route.Targets()
		x.Service = w.Pool.Name
		if r.tenant != nil {
			x.Tenant = r.tenant.Name
		}
		m, refused := d.BuildRequest(req, &w, nil)
		no = refused
		x.Session, x.RemainingMS = m.Policy.Session != 0, m.Policy.Timeout.Milliseconds()
		x.Class = ClassOf(r.route.Route).Name
	}
	if no != nil {
		x.Status, x.Reason = no.Status, no.Reason
	}
	return x
}
