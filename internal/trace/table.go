package trace

import (
	"time"
)

// table holds the steps, and the ordinary try of each that waits for its window's end. Nearly all that a busy router
// records ends here and is dropped, so it is made to cost the garbage collector nothing: steps are slots of one slice
// without pointers, tries are bytes in one ring.
type table struct {
	slots  []step
	free   []uint32
	traces map[TraceID]uint32 // slots, by the trace that the client sent
	talks  map[uint64]uint32  // slots, by session: the latest
	order  []turn             // a ring: the steps with no try under way, by the end of their windows
	first  int                // of order
	count  int                // of order, those that were taken back included
	ring   []byte             // records, each behind its length
	head   uint64             // offset of the oldest record, counted from the start of all
	tail   uint64             // and of the next
	held   int                // tries in the ring that are still wanted
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
	record  uint64        // offset+1 of its ordinary try in the ring; 0 = none
	seq     uint32        // of its turn
	number  int32         // of tries so far
	open    int32         // tries under way
	kept    bool          // one was kept, so that all are
	indexed bool          // in traces
	in      bool          // of the share
}

func newTable(steps, memory int) *table {
	return &table{
		slots: make([]step, 1, 64), traces: map[TraceID]uint32{}, talks: map[uint64]uint32{},
		order: make([]turn, 2*steps+2), ring: make([]byte, memory),
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

// drop gives up a step's record in the ring.
func (t *table) drop(s *step) {
	if s.record != 0 {
		s.record = 0
		t.held--
	}
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

// room tells whether a record of so many bytes fits into the ring at all, and whether it does now.
func (t *table) room(n int) (ever, now bool) {
	need := uint64(n + 4)
	return need <= uint64(len(t.ring)), t.tail-t.head+need <= uint64(len(t.ring))
}

// oldest moves past records that nobody wants any more and returns the step of the oldest that is wanted; 0 = none.
func (t *table) oldest() uint32 {
	for t.head < t.tail {
		var b [8]byte
		t.read(t.head, b[:])
		slot := uint32(b[4]) | uint32(b[5])<<8 | uint32(b[6])<<16 | uint32(b[7])<<24
		if t.slots[slot].record == t.head+1 {
			return slot
		}
		t.head += 4 + uint64(uint32(b[0])|uint32(b[1])<<8|uint32(b[2])<<16|uint32(b[3])<<24)
	}
	return 0
}

// hold puts a step's record into the ring, which has room for it. Its first four bytes are the slot's.
func (t *table) hold(slot uint32, record []byte) {
	n := len(record)
	t.slots[slot].record = t.tail + 1
	t.write(t.tail, []byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)})
	t.write(t.tail+4, record)
	t.tail += 4 + uint64(n)
	t.held++
}

// record appends a step's record to b.
func (t *table) record(s *step, b []byte) []byte {
	var size [4]byte
	at := s.record - 1
	t.read(at, size[:])
	n := int(uint32(size[0]) | uint32(size[1])<<8 | uint32(size[2])<<16 | uint32(size[3])<<24)
	from := len(b)
	b = append(b, make([]byte, n)...)
	t.read(at+4, b[from:])
	return b
}

func (t *table) write(at uint64, b []byte) {
	n := copy(t.ring[at%uint64(len(t.ring)):], b)
	copy(t.ring, b[n:])
}

func (t *table) read(at uint64, b []byte) {
	n := copy(b, t.ring[at%uint64(len(t.ring)):])
	copy(b[n:], t.ring)
}
