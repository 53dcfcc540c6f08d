package usage

import "notchhinge/internal/control/encoding"

// Load is what one router, or all routers together, have of one service.
type Load struct {
	Service string
	Running uint64 // requests at engines, in hundredths, a mean over the last second
	Arrived uint64 // requests since the router's start
	Late    uint64 // of these, answered after their latency target or not at all
}

// Report is what a router sends to a voter of the control plane.
type Report struct {
	Incarnation uint64 // of the router
	Zone        string
	Counters    Counters
	Loads       []Load
}

// Encode returns the report as it stands on the wire.
func (p *Report) Encode() []byte {
	w := encoding.Writer{}
	w.Fixed64(p.Incarnation)
	w.String(p.Zone)
	p.Counters.Encode(&w)
	w.Uvarint(uint64(len(p.Loads)))
	for _, l := range p.Loads {
		w.String(l.Service)
		w.Uvarint(l.Running)
		w.Uvarint(l.Arrived)
		w.Uvarint(l.Late)
	}
	return w.Buf
}

// DecodeReport reads a report.
func DecodeReport(b []byte) (*Report, error) {
	r := encoding.Reader{Buf: b}
	p := &Report{Incarnation: r.Fixed64(), Zone: r.String(maxNameBytes), Counters: DecodeCounters(&r)}
	for range r.Length(maxServices, 4) {
		p.Loads = append(p.Loads, Load{r.String(maxNameBytes), r.Uvarint(), r.Uvarint(), r.Uvarint()})
	}
	return p, r.Finish()
}

// Ack is a voter's answer to a report.
type Ack struct {
	TableID uint64 // identifies the voter's table: one with another id holds nothing of what was reported before
	Routers uint64 // incarnations of routers that have reported within the retry window, this one's among them; 0 = not known
}

// Encode returns the acknowledgement as it stands on the wire.
func (a *Ack) Encode() []byte {
	w := encoding.Writer{}
	w.Fixed64(a.TableID)
	w.Uvarint(a.Routers)
	return w.Buf
}

// DecodeAck reads an acknowledgement.
func DecodeAck(b []byte) (Ack, error) {
	r := encoding.Reader{Buf: b}
	a := Ack{TableID: r.Fixed64(), Routers: r.Uvarint()}
	return a, r.Finish()
}
