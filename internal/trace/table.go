package trace

import (
	"time"
)

// table holds the steps, and the ordinary try of each that waits for its window's end. Nearly all that a busy router
// records ends here and is dropped, so it is made to cost the garbage collector nothing: steps are slots of one slice
// without pointers, and each has a cell of bytes for its try.
type table struct {
	slots  []step
	free   []uint32
	traces map[TraceID]uint32 // slots, by the trace that the client sent
	talks  map[uint64]uint32  // slots, by session: the latest
	order  []turn             // a ring: the steps with no try under way, by the end of their windows
	first  int                // of order
	count  int                // of order, those that were taken back included
	cells  [][]byte           // chunks of cells, one for each slot
	held   int                // tries in cells
}

// turn is a step's place in the order; it counts if the step has not been taken up again since.
type turn struct {
	slot uint32
	seq  uint32
}

// step is a client's first try and the retries that followed it. It holds no pointer. Slot 0 is never used, so that 0
// means none.
type step struct {
	trace   TraceID
	last    Link // the latest try
	session uint64
	prompt  float64
	until   time.Duration // it is forgotten then, unless a try is under way
	before  uint32        // slot of the session's step before it, which may be another's by now; 0 = none
	seq     uint32        // of its turn
	number  int32         // of tries so far
	open    int32         // tries under way
	kept    bool          // one was kept, so that all are
	indexed bool          // in traces
	in      bool          // of the share
	size    uint16        // bytes in its cell: the ordinary try that waits; 0 = none
}

const (
	cellBytes = 384 // room for a record with ids and names of the usual length; a longer one does not wait
	chunk     = 64  // cells

	// OperationBytes is what a step takes in all, its cell and its places in the indices included.
	OperationBytes = cellBytes + 128 + 64
)

func newTable(steps int) *table {
	return &table{
		slots: make([]step, 1, 64), traces: map[TraceID]uint32{}, talks: map[uint64]uint32{}, order: make([]turn, 2*steps+2),
	}
}

// add makes a step.
func (t *table) add(s step) uint32 {
	var slot uint32
	if n := len(t.free); n > 0 {
		slot = t.free[n-1]
		t.free = t.free[:n-1]
		s.seq = t.slots[slot].seq
		t.slots[slot] = s
	} else {
		slot = uint32(len(t.slots))
		t.slots = append(t.slots, s)
	}
	if s.indexed {
		t.traces[s.trace] = slot
	}
	return slot
}

// remove forgets a step that has no try under way.
func (t *table) remove(slot uint32) {
	s := &t.slots[slot]
	if s.indexed && t.traces[s.trace] == slot {
		delete(t.traces, s.trace)
	}
	if s.session != 0 && t.talks[s.session] == slot {
		delete(t.talks, s.session)
	}
	t.drop(s)
	s.seq++ // its turn, if it has one, is void
	t.free = append(t.free, slot)
}

// drop gives up a step's try.
func (t *table) drop(s *step) {
	if s.size != 0 {
		s.size = 0
		t.held--
	}
}

// cell is where a slot's try is kept.
func (t *table) cell(slot uint32) []byte {
	for int(slot)/chunk >= len(t.cells) {
		t.cells = append(t.cells, make([]byte, chunk*cellBytes))
	}
	at := int(slot) % chunk * cellBytes
	return t.cells[int(slot)/chunk][at : at+cellBytes : at+cellBytes]
}

// hold puts a try into its step's cell. ok is false where it is too large for one.
func (t *table) hold(slot uint32, y *Record, taken time.Duration) (ok bool) {
	packed := y.pack(t.cell(slot)[:0], taken)
	if len(packed) > cellBytes {
		return false
	}
	t.slots[slot].size = uint16(len(packed))
	t.held++
	return true
}

// take reads a step's try and drops it; nil = there is none.
func (t *table) take(slot uint32) *Record {
	s := &t.slots[slot]
	if s.size == 0 {
		return nil
	}
	y, err := unpack(t.cell(slot)[:s.size])
	t.drop(s)
	if err != nil {
		return nil // it cannot be: what pack writes unpack reads
	}
	return y
}

// queue puts a step at the end of the order. ok is false where there is no room: the first must leave.
func (t *table) queue(slot uint32) (ok bool) {
	if t.count == len(t.order) {
		return false
	}
	s := &t.slots[slot]
	s.seq++
	t.order[(t.first+t.count)%len(t.order)] = turn{slot, s.seq}
	t.count++
	return true
}

// unqueue takes a step out of the order: a retry has come.
func (t *table) unqueue(slot uint32) { t.slots[slot].seq++ }

// next returns the first step of the order, or 0.
func (t *table) next() uint32 {
	for t.count > 0 {
		at := t.order[t.first]
		if t.slots[at.slot].seq == at.seq {
			return at.slot
		}
		t.shift()
	}
	return 0
}

// shift takes the first turn out.
func (t *table) shift() {
	t.first = (t.first + 1) % len(t.order)
	t.count--
}

// waiting tells how many steps there are, those with a try under way included.
func (t *table) waiting() int { return len(t.slots) - 1 - len(t.free) }
