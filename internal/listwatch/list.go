package listwatch

import (
	"fmt"
	"slices"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/policy"
)

// List is a response of the discovery service.
type List struct {
	Seq    uint64  `json:"seq"`
	IsFull bool    `json:"whole"` // otherwise Hosts has the changed entries only
	Hosts  []Entry `json:"hosts"`
}

// Entry is one host of a list.
type Entry struct {
	Name   string  `json:"host"`
	Addr   string  `json:"dial"`
	Zone   string  `json:"site"`
	Cell   int     `json:"block"`
	Class  string  `json:"class"` // of the host; "" = the service has no classes
	Health string  `json:"health"`
	Weight float64 `json:"share"`
	BornMS float64 `json:"born_ms"` // start of the host on the platform's clock, in milliseconds
}

// Values of Entry.Health.
const (
	healthReady       = "Ready"
	healthTerminating = "Terminating"
	healthGone        = "Gone"
)

// maxBornMS keeps the conversion to a time.Duration from overflowing.
const maxBornMS = 1e15 / 2

// unknownZone is the number of a zone that the settings do not list.
const unknownZone = -1

// DispatchHosts converts the entries to hosts of the dispatcher. A zone's number is its index in zones.
func (l List) DispatchHosts(zones []string) ([]dispatch.Host, error) {
	hosts := make([]dispatch.Host, 0, len(l.Hosts))
	for i := range l.Hosts {
		h, err := l.Hosts[i].dispatchHost(zones)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

func (e *Entry) dispatchHost(zones []string) (dispatch.Host, error) {
	h := dispatch.Host{Name: e.Name, Addr: e.Addr, Zone: unknownZone, Cell: e.Cell, Weight: e.Weight}
	switch e.Health {
	case healthReady:
		h.State = policy.StateReady
	case healthTerminating:
		h.State = policy.StateDraining
	case healthGone:
		h.State = policy.StateGone
	default:
		return h, fmt.Errorf("host %q: health %q is unknown", e.Name, e.Health)
	}
	if e.Name == "" || !(e.BornMS >= 0 && e.BornMS < maxBornMS) {
		return h, fmt.Errorf("host %q: name or born_ms %v is invalid", e.Name, e.BornMS)
	}
	h.StartedAt = time.Duration(e.BornMS * float64(time.Millisecond))
	if i := slices.Index(zones, e.Zone); i >= 0 {
		h.Zone = i
	}
	return h, nil
}
