package usage

import "notchhinge/internal/control/encoding"

// Load is the traffic of one service, at one router or summed over all routers.
type Load struct {
	Service string
	Running uint64 // number of requests in flight, times 100
	Arrived uint64 // number of requests since the start of the router
	Late    uint64 // number of requests that missed their latency target or failed; routers of this release send 0
}

// Report is the message with counters and loads that a router sends to a replica of the control plane.
type Report struct {
	Incarnation uint64 // of the router
	Zone        string
	Counters    Counters
	Loads       []Load
}

// Encode returns the encoded report.
func (r *Report) Encode() []byte {
	w := encoding.Writer{}
	w.Fixed64(r.Incarnation)
	w.String(r.Zone)
	r.Counters.Encode(&w)
	w.Uvarint(uint64(len(r.Loads)))
	for _, l := range r.Loads {
		w.String(l.Service)
		w.Uvarint(l.Running)
		w.Uvarint(l.Arrived)
		w.Uvarint(l.Late)
	}
	return w.Buf
}

// DecodeReport decodes a report.
func DecodeReport(b []byte) (*Report, error) {
	r := encoding.Reader{Buf: b}
	report := &Report{Incarnation: r.Fixed64(), Zone: r.String(maxNameBytes), Counters: DecodeCounters(&r)}
	for range r.Length(maxServices, 4) {
		report.Loads = append(report.Loads, Load{r.String(maxNameBytes), r.Uvarint(), r.Uvarint(), r.Uvarint()})
	}
	return report, r.Finish()
}

// Ack is a replica's response to a report.
type Ack struct {
	TableID uint64 // identifies the replica's table; a new table has a new ID and contains no earlier reports
	Routers uint64 // number of router incarnations, including this one, that reported within singleton.Config.RouterWindow; 0 = unknown
}

// Encode returns the encoded acknowledgement.
func (a *Ack) Encode() []byte {
	w := encoding.Writer{}
	w.Fixed64(a.TableID)
	w.Uvarint(a.Routers)
	return w.Buf
}

// DecodeAck decodes an acknowledgement.
func DecodeAck(b []byte) (Ack, error) {
	r := encoding.Reader{Buf: b}
	a := Ack{TableID: r.Fixed64(), Routers: r.Uvarint()}
	return a, r.Finish()
}
