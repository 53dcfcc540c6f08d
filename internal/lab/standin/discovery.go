// Package standin provides fakes of the services around a router on loopback sockets: the discovery service, inference engines
// (the simulated engines of internal/lab/model behind HTTP) and a trace collector.
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

// Entry describes an engine in the list of the discovery service.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`    // zone
	Class  string  `json:"class"`   // of the host
	Block  int     `json:"block"`   // cell
	Health string  `json:"health"`  // Ready, Terminating or Gone
	Share  float64 `json:"share"`   // weight
	BornMS int64   `json:"born_ms"` // start of a cold engine in Unix milliseconds; 0 = warm
}

// List is a response of the discovery service: the whole list, or the entries that changed.
type List struct {
	Seq   int     `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []Entry `json:"hosts"`
}

// Discovery is a fake discovery service. Clients read its list of engines and watch it by long polling.
type Discovery struct {
	Delay time.Duration // delay before a change becomes visible

	mu      sync.Mutex
	seq     int
	entries map[string]Entry
	changed map[string]int // sequence number of an entry's last change
	updated chan struct{}  // closed at the next change
	srv     *http.Server
	addr    string
}

// StartDiscovery starts a discovery service at a loopback address; "127.0.0.1:0" selects a free port.
func StartDiscovery(addr string, delay time.Duration) (*Discovery, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		Delay: delay, entries: map[string]Entry{}, changed: map[string]int{}, updated: make(chan struct{}), addr: ln.Addr().String(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", d.serve)
	d.srv = &http.Server{Handler: mux}
	go d.srv.Serve(ln)
	return d, nil
}

// Addr returns the address at which the service listens.
func (d *Discovery) Addr() string { return d.addr }

// Close stops the service and ends all watches.
func (d *Discovery) Close() error { return d.srv.Close() }

// Set adds or replaces an entry. The change becomes visible after Delay.
func (d *Discovery) Set(e Entry) {
	set := func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.seq++
		d.entries[e.Host], d.changed[e.Host] = e, d.seq
		close(d.updated)
		d.updated = make(chan struct{})
	}
	if d.Delay > 0 {
		time.AfterFunc(d.Delay, set)
		return
	}
	set()
}

// Snapshot returns the whole list.
func (d *Discovery) Snapshot() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(-1)
}

// since returns the entries that changed after a sequence number; a negative one selects the whole list. The caller holds mu.
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
		l, updated := d.since(after), d.updated
		d.mu.Unlock()
		if l.Whole || len(l.Hosts) > 0 || !waiting {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(l)
			return
		}
		select {
		case <-updated:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
