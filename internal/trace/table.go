package trace

import (
	"time"
)

// table holds the operations, and for each the ordinary record that awaits the end of its retry window. Most records of
// a busy router end here and are dropped. To keep the load on the garbage collector low, operations are slots of one
// slice without pointers, and each slot has a cell of bytes for its packed record.
type table struct {
	slots     []operation
	free      []uint32
	byTrace   map[TraceID]uint32 // slots by the trace ID that the client sent
	bySession map[uint64]uint32  // the latest slot of each session
	order     []orderEntry       // a ring of the operations without an open request, by the end of their retry windows
	first     int                // index of the first entry in order
	count     int                // number of entries in order, including invalid ones
	cells     [][]byte           // in chunks; one cell for each slot
	pending   int                // records in cells
}

// orderEntry is the place of an operation in the order. It is valid while seq equals that of the operation.
type orderEntry struct {
	slot uint32
	seq  uint32
}

// operation is a client's request and the retries of it. It holds no pointer. Slot 0 is never used, so that 0 means
// none.
type operation struct {
	trace        TraceID
	last         Link // the latest request
	session      uint64
	promptTokens float64
	windowEnd    time.Duration // end of the retry window, if no request is open
	previous     uint32        // slot of the session's previous operation, which may have been reused since; 0 = none
	seq          uint32        // of its valid orderEntry
	requests     int32         // number of requests so far
	open         int32         // open requests
	kept         bool          // one record was exported, so all are
	indexed      bool          // in byTrace
	sampled      bool          // its trace is in the sampled share
	size         uint16        // bytes of the pending record in its cell; 0 = none
}

const (
	cellBytes     = 384 // fits a record with IDs and names of the usual length; a longer one is not stored
	cellsPerChunk = 64

	// OperationBytes is the memory that one operation takes, with its cell and its index entries.
	OperationBytes = cellBytes + 128 + 64
)

func newTable(operations int) *table {
	return &table{
		slots: make([]operation, 1, 64), byTrace: map[TraceID]uint32{}, bySession: map[uint64]uint32{},
		order: make([]orderEntry, 2*operations+2),
	}
}

// add stores an operation and returns its slot.
func (t *table) add(op operation) uint32 {
	var slot uint32
	if n := len(t.free); n > 0 {
		slot = t.free[n-1]
		t.free = t.free[:n-1]
		op.seq = t.slots[slot].seq
		t.slots[slot] = op
	} else {
		slot = uint32(len(t.slots))
		t.slots = append(t.slots, op)
	}
	if op.indexed {
		t.byTrace[op.trace] = slot
	}
	return slot
}

// remove deletes an operation without an open request.
func (t *table) remove(slot uint32) {
	op := &t.slots[slot]
	if op.indexed && t.byTrace[op.trace] == slot {
		delete(t.byTrace, op.trace)
	}
	if op.session != 0 && t.bySession[op.session] == slot {
		delete(t.bySession, op.session)
	}
	t.drop(op)
	op.seq++ // invalidates its entry in the order
	t.free = append(t.free, slot)
}

// drop discards the pending record of an operation.
func (t *table) drop(op *operation) {
	if op.size != 0 {
		op.size = 0
		t.pending--
	}
}

// cell returns the memory for the packed record of a slot.
func (t *table) cell(slot uint32) []byte {
	for int(slot)/cellsPerChunk >= len(t.cells) {
		t.cells = append(t.cells, make([]byte, cellsPerChunk*cellBytes))
	}
	at := int(slot) % cellsPerChunk * cellBytes
	return t.cells[int(slot)/cellsPerChunk][at : at+cellBytes : at+cellBytes]
}

// store packs a record into the cell of its operation. ok is false if it does not fit.
func (t *table) store(slot uint32, record *Record, queueTime time.Duration) (ok bool) {
	packed := record.pack(t.cell(slot)[:0], queueTime)
	if len(packed) > cellBytes {
		return false
	}
	t.slots[slot].size = uint16(len(packed))
	t.pending++
	return true
}

// take removes and returns the pending record of an operation, or nil.
func (t *table) take(slot uint32) *Record {
	op := &t.slots[slot]
	if op.size == 0 {
		return nil
	}
	record, err := unpack(t.cell(slot)[:op.size])
	t.drop(op)
	if err != nil {
		return nil // unreachable: unpack accepts all that pack writes
	}
	return record
}

// enqueue appends an operation to the order. ok is false if the order is full.
func (t *table) enqueue(slot uint32) (ok bool) {
	if t.count == len(t.order) {
		return false
	}
	op := &t.slots[slot]
	op.seq++
	t.order[(t.first+t.count)%len(t.order)] = orderEntry{slot, op.seq}
	t.count++
	return true
}

// dequeue removes an operation from the order, by invalidating its entry.
func (t *table) dequeue(slot uint32) { t.slots[slot].seq++ }

// next returns the first slot of the order, or 0.
func (t *table) next() uint32 {
	for t.count > 0 {
		entry := t.order[t.first]
		if t.slots[entry.slot].seq == entry.seq {
			return entry.slot
		}
		t.shift()
	}
	return 0
}

// shift removes the first entry of the order.
func (t *table) shift() {
	t.first = (t.first + 1) % len(t.order)
	t.count--
}

// size returns the number of operations, including those with an open request.
func (t *table) size() int { return len(t.slots) - 1 - len(t.free) }
