// Package standin holds the lab's stand-ins for the parties around a router, on loopback sockets: discovery, boxes (the
// engines of internal/lab/model behind HTTP) and a collector. They know nothing of what a router decides.
package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Entry is a box as discovery tells it.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"` // Ready, Terminating or Gone
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// List is an answer of discovery.
type List struct {
	Seq   int     `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []Entry `json:"hosts"`
}

// Discovery is the list of boxes and its watches.
type Discovery struct {
	Delay time.Duration // a change is told so much later

	mu      sync.Mutex
	seq     int
	entries map[string]Entry
	changed map[string]int // at which version an entry changed last
	news    chan struct{}
	srv     *http.Server
	addr    string
}

// StartDiscovery listens at a loopback address ("127.0.0.1:0" takes any port).
func StartDiscovery(addr string, delay time.Duration) (*Discovery, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		Delay: delay, entries: map[string]Entry{}, changed: map[string]int{}, news: make(chan struct{}), addr: ln.Addr().String(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", d.serve)
	d.srv = &http.Server{Handler: mux}
	go d.srv.Serve(ln)
	return d, nil
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.addr }

// Close ends it and all watches.
func (d *Discovery) Close() error { return d.srv.Close() }

// Set changes an entry; it is told after the delay.
func (d *Discovery) Set(e Entry) {
	set := func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.seq++
		d.entries[e.Host], d.changed[e.Host] = e, d.seq
		close(d.news)
		d.news = make(chan struct{})
	}
	if d.Delay > 0 {
		time.AfterFunc(d.Delay, set)
		return
	}
	set()
}

// Snapshot is the whole list, as a router is told it at its start.
func (d *Discovery) Snapshot() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(-1)
}

func (d *Discovery) since(after int) List {
	l := List{Seq: d.seq, Whole: after < 0, Hosts: []Entry{}}
	for name, e := range d.entries {
		if e.Health == "Gone" && l.Whole || d.changed[name] <= after {
			continue
		}
		l.Hosts = append(l.Hosts, e)
	}
	sort.Slice(l.Hosts, func(i, j int) bool { return l.Hosts[i].Host < l.Hosts[j].Host })
	return l
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	after := -1
	if s := r.URL.Query().Get("after"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil {
			http.Error(w, fmt.Sprintf("after: %v", err), http.StatusBadRequest)
			return
		}
		after = n
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(min(max(wait, 0), 60000)) * time.Millisecond)
	defer timeout.Stop()
	for waiting := true; ; {
		d.mu.Lock()
		l, news := d.since(after), d.news
		d.mu.Unlock()
		if l.Whole || len(l.Hosts) > 0 || !waiting {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(l)
			return
		}
		select {
		case <-news:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
