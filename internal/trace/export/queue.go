// Package export sends records of tries on: to a collector by OTLP, or to a rotated file. It owns the bounded queues
// between the loop and these sinks, and the account of what became of each record. Nothing here holds up a request:
// where a sink is slow or down, records are lost, ordinary ones first.
package export

import (
	"sync"
	"unsafe"

	"notchhinge/internal/trace"
)

// Counters tell what became of the records handed to one sink. Put = Sent + Lost + LostKept + Rejected + those that
// wait. Spans counts those of the records sent.
type Counters struct {
	Put      int
	Sent     int
	Spans    int
	Lost     int // ordinary records that left the queue for want of room
	LostKept int // records that were kept for a reason, likewise
	Rejected int // the sink will not have them
	Retries  int // calls made again
	Waiting  int
}

// queue is a bounded buffer of records: when it is full the oldest ordinary one leaves first, then the oldest kept.
// It is safe for concurrent use, and Put never waits for a sink.
type queue struct {
	most int // bytes

	mu       sync.Mutex
	ordinary fifo
	kept     fifo
	bytes    int
	counts   Counters
	more     chan struct{} // there may be something to take
}

func newQueue(most int) *queue { return &queue{most: most, more: make(chan struct{}, 1)} }

// fifo is a queue of records whose memory is given back.
type fifo struct {
	items []*trace.Record
	first int
}

func (f *fifo) push(t *trace.Record) { f.items = append(f.items, t) }

func (f *fifo) pop() *trace.Record {
	if f.first == len(f.items) {
		return nil
	}
	t := f.items[f.first]
	f.items[f.first] = nil
	f.first++
	if f.first > len(f.items)/2 && f.first > 64 || f.first == len(f.items) {
		n := copy(f.items, f.items[f.first:])
		clear(f.items[n:])
		f.items, f.first = f.items[:n], 0
	}
	return t
}

// put hands a record in.
func (q *queue) put(t *trace.Record) {
	q.mu.Lock()
	q.counts.Put++
	q.add(t)
	q.mu.Unlock()
	select {
	case q.more <- struct{}{}:
	default:
	}
}

func (q *queue) add(t *trace.Record) {
	to := &q.kept
	if t.Reasons == trace.ForShare {
		to = &q.ordinary
	}
	to.push(t)
	q.bytes += size(t)
	for q.bytes > q.most {
		out := q.ordinary.pop()
		if out != nil {
			q.counts.Lost++
		} else if out = q.kept.pop(); out != nil {
			q.counts.LostKept++
		} else {
			return
		}
		q.bytes -= size(out)
	}
}

// take takes up to n records out, those kept for a reason first.
func (q *queue) take(n int) []*trace.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	var some []*trace.Record
	for len(some) < n {
		t := q.kept.pop()
		if t == nil {
			t = q.ordinary.pop()
		}
		if t == nil {
			break
		}
		q.bytes -= size(t)
		some = append(some, t)
	}
	return some
}

// count changes the account.
func (q *queue) count(change func(*Counters)) {
	q.mu.Lock()
	change(&q.counts)
	q.mu.Unlock()
}

// Counters returns the account so far.
func (q *queue) Counters() Counters {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.counts
	c.Waiting = c.Put - c.Sent - c.Lost - c.LostKept - c.Rejected
	return c
}

func size(t *trace.Record) int {
	return int(unsafe.Sizeof(trace.Record{})) + cap(t.Attempts)*int(unsafe.Sizeof(trace.Attempt{})) + 64
}

func spans(some []*trace.Record) int {
	n := len(some)
	for _, t := range some {
		n += len(t.Attempts)
	}
	return n
}
