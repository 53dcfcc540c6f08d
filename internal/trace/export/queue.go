// Package export exports trace records: to a collector by OTLP, or to a rotated file. A bounded queue separates the
// dispatcher from each exporter, and counters account for each record. Exporting never delays a request: if an exporter
// is slow or unavailable, records are dropped, ordinary ones first.
package export

import (
	"sync"
	"unsafe"

	"notchhinge/internal/trace"
)

// Counters count the records put into one exporter by what became of them.
// Put = Sent + Lost + LostKept + Rejected + Waiting.
type Counters struct {
	Put      int
	Sent     int
	Spans    int // of the records sent
	Lost     int // ordinary records dropped because the queue was full
	LostKept int // other records dropped because the queue was full
	Rejected int // by the collector, or not written to the file
	Retries  int // calls repeated
	Waiting  int
}

// queue is a bounded buffer of records. When it is full, it drops the oldest ordinary record, or else the oldest other
// one. It is safe for concurrent use, and put does not block.
type queue struct {
	maxBytes int

	mu        sync.Mutex
	ordinary  fifo
	kept      fifo
	bytes     int
	counters  Counters
	available chan struct{} // signals that records may be available
}

func newQueue(maxBytes int) *queue {
	return &queue{maxBytes: maxBytes, available: make(chan struct{}, 1)}
}

// fifo is a first-in-first-out queue of records that releases its memory.
type fifo struct {
	items []*trace.Record
	first int
}

func (f *fifo) push(record *trace.Record) { f.items = append(f.items, record) }

func (f *fifo) pop() *trace.Record {
	if f.first == len(f.items) {
		return nil
	}
	record := f.items[f.first]
	f.items[f.first] = nil
	f.first++
	if f.first > len(f.items)/2 && f.first > 64 || f.first == len(f.items) {
		n := copy(f.items, f.items[f.first:])
		clear(f.items[n:])
		f.items, f.first = f.items[:n], 0
	}
	return record
}

// put adds a record and signals the exporter.
func (q *queue) put(record *trace.Record) {
	q.mu.Lock()
	q.counters.Put++
	q.add(record)
	q.mu.Unlock()
	select {
	case q.available <- struct{}{}:
	default:
	}
}

func (q *queue) add(record *trace.Record) {
	target := &q.kept
	if record.Reasons == trace.ForShare {
		target = &q.ordinary
	}
	target.push(record)
	q.bytes += recordSize(record)
	for q.bytes > q.maxBytes {
		dropped := q.ordinary.pop()
		if dropped != nil {
			q.counters.Lost++
		} else if dropped = q.kept.pop(); dropped != nil {
			q.counters.LostKept++
		} else {
			return
		}
		q.bytes -= recordSize(dropped)
	}
}

// take removes and returns up to n records, the ordinary ones last.
func (q *queue) take(n int) []*trace.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	var records []*trace.Record
	for len(records) < n {
		record := q.kept.pop()
		if record == nil {
			record = q.ordinary.pop()
		}
		if record == nil {
			break
		}
		q.bytes -= recordSize(record)
		records = append(records, record)
	}
	return records
}

// count updates the counters.
func (q *queue) count(change func(*Counters)) {
	q.mu.Lock()
	change(&q.counters)
	q.mu.Unlock()
}

// Counters returns the counters since the start.
func (q *queue) Counters() Counters {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.counters
	c.Waiting = c.Put - c.Sent - c.Lost - c.LostKept - c.Rejected
	return c
}

func recordSize(record *trace.Record) int {
	return int(unsafe.Sizeof(trace.Record{})) + cap(record.Attempts)*int(unsafe.Sizeof(trace.Attempt{})) + 64
}

func countSpans(records []*trace.Record) int {
	n := len(records)
	for _, record := range records {
		n += len(record.Attempts)
	}
	return n
}
