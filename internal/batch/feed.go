package batch

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strconv"
	"time"
)

// streamEvents sends an event for each outcome of a job when it is recorded, and a last event when the job ends, as server-sent events.
// Last-Event-ID resumes a stream.
func (s *Service) streamEvents(t *team, w http.ResponseWriter, r *http.Request) error {
	j, err := s.findBatch(t, r)
	if err != nil {
		return err
	}
	sent := 0 // events, including those before a reconnect
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		if sent, err = strconv.Atoi(last); err != nil || sent < 0 {
			return invalidValue("Last-Event-ID", "the number of an event is required")
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	out := http.NewResponseController(w)
	for {
		events, isLast, changed := s.feedState(j)
		for _, e := range events[min(sent, len(events)):] {
			sent++
			fmt.Fprintf(w, "id: %d\nevent: line\ndata: %s\n\n", sent, marshalCompact(e))
		}
		if isLast {
			fmt.Fprintf(w, "id: %d\nevent: batch\ndata: %s\n\n", sent, marshalCompact(s.batchObject(j)))
			return nil
		}
		if err := out.Flush(); err != nil {
			return nil
		}
		idle := time.NewTimer(s.limits.BatchFeedKeepAlive)
		select {
		case <-changed:
		case <-idle.C:
			_, _ = io.WriteString(w, ": still here\n\n") // on an error, the context of the request ends
		case <-r.Context().Done():
			idle.Stop()
			return nil
		}
		idle.Stop()
	}
}

// feedState returns the events of a job so far, whether they are the last ones, and a channel that is closed when there are more.
func (s *Service) feedState(j *job) (events []itemEvent, isLast bool, changed <-chan struct{}) {
	s.mu.Lock()
	events, changed = j.events, j.changed
	ended := !j.record.Ended.IsZero()
	isLast = ended || j.err != nil
	s.mu.Unlock()
	if ended { // the outcomes file is final, and the job holds no events in memory
		err := readOutcomes(filepath.Join(j.dir, outcomesName), func(o *Outcome, _ span) { events = append(events, o.event()) })
		if err != nil {
			s.log.Error("read of batch outcomes failed", "batch", j.record.ID, "err", err)
		}
	}
	return events, isLast, changed
}

// marshalCompact returns the JSON of v on one line.
func marshalCompact(v any) []byte {
	b, _ := json.Marshal(v) // cannot fail: only maps, strings and numbers
	return b
}
