package batch_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"mime/multipart"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"notchhinge/internal/batch"
	"notchhinge/internal/config/platformconfig"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/listwatch"
	"notchhinge/internal/reconcile"
	"notchhinge/internal/router"
)

const (
	proofItems           = 5000
	proofInvalidHundreds = 7 // one item in this many hundreds is invalid
)

// fleet is a set of fake engines.
type fleet struct {
	hosts  []*httptest.Server
	served atomic.Int64
	half   chan struct{} // closed at the request in the middle of the file
	resume chan struct{} // later requests wait until it is closed
}

// drainLog is the writer of a router's log. It closes resume when the router starts to drain.
type drainLog struct {
	resume chan struct{}
	once   sync.Once
}

// Write implements io.Writer.
func (l *drainLog) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("msg=draining")) {
		l.once.Do(func() { close(l.resume) })
	}
	return len(b), nil
}

// newFleet returns a fleet with one engine per element of failAfter, which fails after that number of requests; 0 = never.
func newFleet(t *testing.T, failAfter ...int64) *fleet {
	f := &fleet{half: make(chan struct{}), resume: make(chan struct{})}
	for _, limit := range failAfter {
		var received atomic.Int64
		var failed atomic.Bool
		s := httptest.NewUnstartedServer(nil)
		s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			if n := received.Add(1); n == limit {
				failed.Store(true)
				s.Listener.Close() // new connections are refused
			}
			if n := f.served.Add(1); n == proofItems/2 {
				close(f.half)
			} else if n > proofItems/2 {
				<-f.resume
			}
			w.Header().Set("Content-Type", "text/event-stream")
			if !failed.Load() || received.Load()%2 == 0 { // a failed engine still starts half of its responses
				io.WriteString(w, `data: {"choices":[{"delta":{"content":"summary"},"finish_reason":"stop"}]}`+"\n\n")
				_ = http.NewResponseController(w).Flush()
			}
			if failed.Load() {
				panic(http.ErrAbortHandler) // aborts the connection
			}
			io.WriteString(w, "data: [DONE]\n\n")
		})
		s.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)
		s.Start()
		t.Cleanup(s.Close)
		f.hosts = append(f.hosts, s)
	}
	return f
}

// start runs a router with a batch service on loopback until it receives a signal on stop. done receives its error.
func (f *fleet) start(t *testing.T, spool string, log slog.Handler) (api string, stop chan os.Signal, done chan error) {
	t.Helper()
	cfg, err := platformconfig.Load(func(name string) string {
		return map[string]string{"BALANCER_CONFIG": "../config/platformconfig/testdata/config.json"}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	cfg.InitialEndpoints.Hosts = nil
	for i, h := range f.hosts {
		cfg.InitialEndpoints.Hosts = append(cfg.InitialEndpoints.Hosts, listwatch.Entry{
			Name: fmt.Sprint("s-", i), Addr: h.Listener.Addr().String(), Zone: "room", Health: "Ready", Weight: 1,
		})
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	cfg.DiscoveryAddr = closed.Addr().String() // discovery is unavailable during the test
	path := filepath.Join(spool, "batch.toml")
	text := "listen='127.0.0.1:1'\nspool='jobs'\n[[contract]]\nteam='crews'\nkey_env='K'\nclasses=['batch-summary']\n" +
		"lines=5000\nat_once=32\nbudget_tokens=10000000\nbudget_period='24h'\nline_deadline='5m'\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	b, err := cfg.LoadBatchFile(path, func(string) string { return "key" })
	if err != nil {
		t.Fatal(err)
	}
	p, err := reconcile.NewPlan(cfg, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	r := router.New(cfg, p, slog.New(log), (&net.Dialer{}).DialContext, dispatch.UnixClock())
	var listeners [2]net.Listener // of the frontend and of the batch API
	for i := range listeners {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.EnableBatch(b, listeners[1]); err != nil {
		t.Fatal(err)
	}
	stop, done = make(chan os.Signal, 1), make(chan error, 1)
	go func() { done <- r.ServeOn(listeners[0], router.Signals{Stop: stop}) }()
	return "http://" + listeners[1].Addr().String(), stop, done
}

// callAPI sends a request to the batch API and decodes the JSON response.
func callAPI(t *testing.T, method, url, contentType string, body io.Reader) map[string]any {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Content-Type", contentType)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var m map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&m); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s %s: %s, %v %v", method, url, resp.Status, m, err)
	}
	return m
}

// submit uploads a file and creates a batch from it.
func submit(t *testing.T, api string, file []byte) map[string]any {
	t.Helper()
	var b bytes.Buffer
	form := multipart.NewWriter(&b)
	_ = form.WriteField("purpose", "batch")
	part, _ := form.CreateFormFile("file", "period.jsonl")
	_, _ = part.Write(file)
	_ = form.Close()
	f := callAPI(t, "POST", api+"/v1/files", form.FormDataContentType(), &b)
	return callAPI(t, "POST", api+"/v1/batches", "application/json",
		strings.NewReader(fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions"}`, f["id"])))
}

// get returns the response body of a GET request; the caller closes it.
func get(t *testing.T, url string) io.ReadCloser {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), "GET", url, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: %v %v", url, resp, err)
	}
	return resp.Body
}

// isValid reports whether item i of the file is valid.
func isValid(i int) bool { return i%(100*proofInvalidHundreds) != 0 }

// TestEveryItemHasOneOutcomeThroughFaultsAndRestart: each of 5,000 items must have exactly one outcome, although engines fail, the file
// is uploaded again and the router drains and restarts in the middle of the file.
func TestEveryItemHasOneOutcomeThroughFaultsAndRestart(t *testing.T) {
	var file bytes.Buffer
	for i := range proofItems {
		if !isValid(i) {
			fmt.Fprintf(&file, `{"custom_id":"line-%d","method":"PUT"}`+"\n", i)
			continue
		}
		fmt.Fprintf(&file, `{"custom_id":"line-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"chat",`+
			`"max_tokens":20,"messages":[{"role":"user","content":"period %d"}]}}`+"\n", i, i)
	}
	f, dir := newFleet(t, 300, 700, 0, 0, 0), t.TempDir()
	api, stop, done := f.start(t, dir, slog.NewTextHandler(&drainLog{resume: f.resume}, nil))
	first := submit(t, api, file.Bytes())
	<-f.half
	second := submit(t, api, file.Bytes())
	if first["id"] != second["id"] {
		t.Errorf("the same file became %v and %v", first["id"], second["id"])
	}
	stop <- syscall.SIGTERM
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	afterDrain := f.served.Load()

	api, stop, done = f.start(t, dir, slog.DiscardHandler)
	third := submit(t, api, file.Bytes())
	if first["id"] != third["id"] {
		t.Errorf("after the restart the file became %v", third["id"])
	}
	feed := get(t, fmt.Sprintf("%s/v1/batches/%v/events", api, third["id"]))
	if _, err := io.Copy(io.Discard, feed); err != nil { // the stream ends with the batch
		t.Fatal(err)
	}
	feed.Close()
	b := callAPI(t, "GET", fmt.Sprintf("%s/v1/batches/%v", api, third["id"]), "", nil)
	if b["status"] != "completed" {
		t.Fatalf("batch %v", b)
	}
	checkResult(t, get(t, fmt.Sprintf("%s/v1/files/%v/content", api, b["output_file_id"])))
	stop <- syscall.SIGTERM
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if afterDrain > proofItems/2+100 || f.served.Load() < proofItems-proofItems/100 {
		t.Errorf("%d requests before the drain, %d in total: the drain was not in the middle of the file", afterDrain, f.served.Load())
	}
}

// checkResult checks that a result file has exactly one outcome per item.
func checkResult(t *testing.T, r io.ReadCloser) {
	t.Helper()
	defer r.Close()
	seen := map[string]int{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var o batch.Outcome
		if err := json.Unmarshal(lines.Bytes(), &o); err != nil {
			t.Fatal(err)
		}
		seen[o.CustomID]++
		i := o.Line - 1
		want := "served"
		if !isValid(i) {
			want = "failed"
		}
		if o.CustomID != fmt.Sprint("line-", i) || o.Outcome != want {
			t.Errorf("line %d: %+v %+v", o.Line, o, o.Error)
		}
	}
	if err := lines.Err(); err != nil {
		t.Error(err)
	}
	for id, n := range seen {
		if n != 1 {
			t.Errorf("%s has %d outcomes", id, n)
		}
	}
	if len(seen) != proofItems {
		t.Errorf("%d items have an outcome, want all", len(seen))
	}
}
