package simadapter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Sizes in bytes and limits of the format.
const (
	batchHeaderSize = 20
	replyHeaderSize = 12
	eventSize       = 56
	actionSize      = 24
	listEntrySize   = 22
	// maxLists is the number of list numbers.
	maxLists = 16
	// maxBodySize is the largest size of a batch without its header. A larger size is rejected before memory is allocated.
	maxBodySize = 1 << 30
	// maxMicros is the largest number of microseconds that fits a time.Duration.
	maxMicros = math.MaxInt64 / 1000
)

// batch is one frame of events. Its lengths and its clock are validated, but not its events.
type batch struct {
	number      uint32
	clockMicros uint64
	events      []byte // records of eventSize
	tail        []byte // data that events refer to by offset and length
}

// readBatch reads one batch into buf. It returns the batch and the buffer for the next call, which overwrites the batch. At the
// end of the input it returns io.EOF.
func readBatch(r io.Reader, buf []byte) (*batch, []byte, error) {
	var head [batchHeaderSize]byte
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
	case size > maxBodySize:
		return nil, buf, fmt.Errorf("batch of %d bytes exceeds the limit of %d", size, maxBodySize)
	case count > size/eventSize:
		return nil, buf, fmt.Errorf("batch of %d bytes cannot hold %d records", size, count)
	case clock > maxMicros:
		return nil, buf, fmt.Errorf("clock %d is out of range", clock)
	}
	body, err := readBody(r, buf, size)
	if err != nil {
		return nil, body, err
	}
	return &batch{
		number:      binary.LittleEndian.Uint32(head[0:]),
		clockMicros: clock,
		events:      body[:count*eventSize],
		tail:        body[count*eventSize:],
	}, body, nil
}

// readBody fills buf with size bytes. The buffer grows while the bytes arrive, so that a wrong size in a header does not
// allocate that much memory.
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

// record is the fixed-size part of an event, an action or a list entry. Fields are addressed by their offset in bytes.
type record []byte

func (r record) u8(at int) uint8    { return r[at] }
func (r record) u16(at int) uint16  { return binary.LittleEndian.Uint16(r[at:]) }
func (r record) u32(at int) uint32  { return binary.LittleEndian.Uint32(r[at:]) }
func (r record) u64(at int) uint64  { return binary.LittleEndian.Uint64(r[at:]) }
func (r record) f32(at int) float64 { return float64(math.Float32frombits(r.u32(at))) }

// tailBytes returns a part of the tail. The record has its offset at the given position, followed by its length in units of the
// given size in bytes.
func (b *batch) tailBytes(r record, at, unit int) ([]byte, error) {
	offset, length := uint64(r.u32(at)), uint64(r.u32(at+4))*uint64(unit)
	if offset+length > uint64(len(b.tail)) {
		return nil, fmt.Errorf("bytes %d to %d are outside the tail of %d bytes", offset, offset+length, len(b.tail))
	}
	return b.tail[offset : offset+length], nil
}
