package listwatch

import (
	"fmt"
	"slices"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/policy"
)

// List is an answer of the discovery service.
type List struct {
	Seq    uint64  `json:"seq"`
	IsFull bool    `json:"whole"` // else it has the entries that have changed
	Hosts  []Entry `json:"hosts"`
}

// Entry is one host of a list.
type Entry struct {
	Name   string  `json:"host"`
	Addr   string  `json:"dial"`
	Zone   string  `json:"site"`
	Cell   int     `json:"block"`
	Class  string  `json:"class"` // where a service sorts hosts into classes; "" = none
	Health string  `json:"health"`
	Weight float64 `json:"share"`
	BornMS float64 `json:"born_ms"` // its start, on the platform's clock
}

// What Entry.Health may be.
const (
	healthReady       = "Ready"
	healthTerminating = "Terminating"
	healthGone        = "Gone"
)

// maxBornMS bounds a time that is converted to a time.Duration.
const maxBornMS = 1e15 / 2

// unknownZone is the number of a zone that the settings do not name: it is none of theirs.
const unknownZone = -1

// DispatchHosts converts the entries. A zone's number is its index among zones.
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
