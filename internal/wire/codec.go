// Package wire speaks the simulator's frame format: batches of events in, one reply of actions out for
// each. It holds no decisions.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

const (
	batchHeader = 20
	replyHeader = 12
	eventSize   = 56
	actionSize  = 24
	entrySize   = 22
	maxLists    = 16
	// maxBody bounds a frame: larger ones are taken for a broken header, before memory is set aside.
	maxBody = 1 << 30
)

// Event codes.
const (
	EvVanished = 1
	EvRegistry = 2
	EvVerdict  = 3
	EvCensus   = 4
	EvSelect   = 5
	EvStarted  = 6
	EvAlarm    = 7
	EvSampled  = 8
	EvWhisper  = 9
	EvDestroy  = 10
	EvLaunch   = 11
	EvKnock    = 12
)

// Action codes.
const (
	AcNotify     = 1
	AcReadList   = 2
	AcCallOff    = 3
	AcDebug      = 4
	AcDie        = 5
	AcCheck      = 6
	AcMove       = 7
	AcTurnAway   = 8
	AcWakeAt     = 9
	AcAssign     = 10
	AcEndFailed  = 11
	AcSource     = 12
	AcDisconnect = 13
	AcListen     = 14
)

// Ways in which a Registry relates to the list before it.
const (
	HowDelta  = 0
	HowFailed = 1
	HowFull   = 2
	HowCached = 3
)

// A Batch is one frame of events, checked for its lengths only.
type Batch struct {
	Number uint32
	Clock  uint64 // microseconds
	events []byte
	tail   []byte
}

// ReadBatch reads one batch. At the end of the input it returns io.EOF.
func ReadBatch(r io.Reader, buf []byte) (*Batch, []byte, error) {
	var head [batchHeader]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, buf, errors.New("input ends within the header of a batch")
		}
		return nil, buf, err
	}
	count := int(binary.LittleEndian.Uint32(head[4:]))
	size := int(binary.LittleEndian.Uint32(head[8:]))
	clock := binary.LittleEndian.Uint64(head[12:])
	switch {
	case size > maxBody:
		return nil, buf, fmt.Errorf("batch of %d bytes is over the limit of %d", size, maxBody)
	case count > size/eventSize:
		return nil, buf, fmt.Errorf("batch of %d bytes cannot hold %d records", size, count)
	case clock > maxMicros:
		return nil, buf, fmt.Errorf("clock %d is out of range", clock)
	}
	body, err := readBody(r, buf, size)
	if err != nil {
		return nil, body, err
	}
	return &Batch{
		Number: binary.LittleEndian.Uint32(head[0:]),
		Clock:  clock,
		events: body[:count*eventSize],
		tail:   body[count*eventSize:],
	}, body, nil
}

// readBody fills buf with size bytes, growing it no faster than the bytes arrive.
func readBody(r io.Reader, buf []byte, size int) ([]byte, error) {
	const step = 1 << 20
	buf = buf[:0]
	for len(buf) < size {
		n := min(size-len(buf), max(step, cap(buf)-len(buf)))
		from := len(buf)
		if cap(buf) < from+n {
			grown := make([]byte, from+n, max(from+n, 2*cap(buf)))
			copy(grown, buf)
			buf = grown
		}
		buf = buf[:from+n]
		if _, err := io.ReadFull(r, buf[from:]); err != nil {
			return buf, errors.New("input ends within a batch")
		}
	}
	return buf, nil
}

// maxMicros is the largest time that still fits a time.Duration.
const maxMicros = math.MaxInt64 / 1000

// A record is the fixed part of one event or action.
type record []byte

func (r record) u8(at int) uint8    { return r[at] }
func (r record) u16(at int) uint16  { return binary.LittleEndian.Uint16(r[at:]) }
func (r record) u32(at int) uint32  { return binary.LittleEndian.Uint32(r[at:]) }
func (r record) u64(at int) uint64  { return binary.LittleEndian.Uint64(r[at:]) }
func (r record) f32(at int) float64 { return float64(math.Float32frombits(r.u32(at))) }

// span returns the part of the tail that the field at the position names, in units of the given size.
func (b *Batch) span(r record, at, unit int) ([]byte, error) {
	offset, length := uint64(r.u32(at)), uint64(r.u32(at+4))*uint64(unit)
	if offset+length > uint64(len(b.tail)) {
		return nil, fmt.Errorf("bytes %d to %d lie outside a tail of %d", offset, offset+length, len(b.tail))
	}
	return b.tail[offset : offset+length], nil
}

// A Reply collects the actions that answer one batch.
type Reply struct {
	records []byte
	tail    []byte
	count   uint32
}

// Reset empties the reply, keeping its memory.
func (p *Reply) Reset() { p.records, p.tail, p.count = p.records[:0], p.tail[:0], 0 }

func (p *Reply) add(code byte) record {
	from := len(p.records)
	p.records = append(p.records, make([]byte, actionSize)...)
	p.records[from] = code
	p.count++
	return p.records[from:]
}

func (r record) put32(at int, v uint32) { binary.LittleEndian.PutUint32(r[at:], v) }
func (r record) put64(at int, v uint64) { binary.LittleEndian.PutUint64(r[at:], v) }

func (p *Reply) putBytes(r record, at int, data string) {
	r.put32(at, uint32(len(p.tail)))
	r.put32(at+4, uint32(len(data)))
	p.tail = append(p.tail, data...)
}

// Source names the instance that the following actions belong to.
func (p *Reply) Source(instance uint32) { p.add(AcSource).put32(1, instance) }

// Assign begins an attempt.
func (p *Reply) Assign(rid uint64, replica uint32, allowFor int32) {
	r := p.add(AcAssign)
	r.put64(1, rid)
	r.put32(9, replica)
	r.put32(13, uint32(allowFor))
}

// TurnAway refuses a request.
func (p *Reply) TurnAway(rid uint64, wait uint32) {
	r := p.add(AcTurnAway)
	r.put64(1, rid)
	r.put32(9, wait)
}

// EndFailed ends a request without assurance.
func (p *Reply) EndFailed(rid uint64) { p.add(AcEndFailed).put64(1, rid) }

// CallOff stops waiting for an attempt.
func (p *Reply) CallOff(rid uint64, shot uint8) {
	r := p.add(AcCallOff)
	r.put64(1, rid)
	r[9] = shot
}

// Check probes a replica.
func (p *Reply) Check(replica uint32) { p.add(AcCheck).put32(1, replica) }

// Disconnect closes idle connections to a replica.
func (p *Reply) Disconnect(replica uint32) { p.add(AcDisconnect).put32(1, replica) }

// Listen subscribes to changes of the list, or withdraws.
func (p *Reply) Listen(want bool) {
	r := p.add(AcListen)
	if want {
		r[1] = 1
	}
}

// ReadList asks for the whole list once.
func (p *Reply) ReadList() { p.add(AcReadList) }

// Notify sends bytes to a peer.
func (p *Reply) Notify(dest uint32, msg string) {
	r := p.add(AcNotify)
	r.put32(1, dest)
	p.putBytes(r, 5, msg)
}

// Move ends a running stream so that its client resumes it elsewhere.
func (p *Reply) Move(rid uint64) { p.add(AcMove).put64(1, rid) }

// WakeAt asks for an Alarm.
func (p *Reply) WakeAt(offset uint32, handle uint64) {
	r := p.add(AcWakeAt)
	r.put32(1, offset)
	r.put64(5, handle)
}

// Debug writes a line to the report.
func (p *Reply) Debug(words string) { p.putBytes(p.add(AcDebug), 1, words) }

// Die declares the decision code failed.
func (p *Reply) Die(words string) { p.putBytes(p.add(AcDie), 1, words) }

// WriteTo writes the reply to the batch of the given number.
func (p *Reply) WriteTo(w io.Writer, number uint32) error {
	var head [replyHeader]byte
	h := record(head[:])
	h.put32(0, number)
	h.put32(4, uint32(len(p.records)+len(p.tail)))
	h.put32(8, p.count)
	for _, part := range [][]byte{head[:], p.records, p.tail} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}
