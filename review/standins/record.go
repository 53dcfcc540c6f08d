package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, with times since the start of the run.
type record struct {
	start time.Time

	mu sync.Mutex
	w  *bufio.Writer
	f  *os.File
}

func openRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), w: bufio.NewWriter(f), f: f}, nil
}

// linef writes one line.
func (r *record) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// sayf writes one line and prints it.
func (r *record) sayf(format string, args ...any) {
	r.linef(format, args...)
	fmt.Printf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
