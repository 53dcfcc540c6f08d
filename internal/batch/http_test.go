package batch

import (
	"bytes"
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers"
	"github.com/getkin/kin-openapi/routers/legacy"
	"go.yaml.in/yaml/v4"

	"notchhinge/internal/dispatch"
)

// client calls the handlers and checks each response against openapi.yaml.
type client struct {
	*harness
	doc    *openapi3.T
	routes routers.Router
}

func newClient(r *harness) *client {
	doc, err := openapi3.NewLoader().LoadFromData(openAPI)
	if err != nil {
		r.t.Fatal(err)
	}
	if err := doc.Validate(r.t.Context()); err != nil {
		r.t.Fatal(err)
	}
	routes, err := legacy.NewRouter(doc)
	if err != nil {
		r.t.Fatal(err)
	}
	return &client{r, doc, routes}
}

// call sends a request and returns the status and body of the response. Responses of paths that openapi.yaml lacks are not checked.
func (c *client) call(method, path, contentType, body string, header ...string) (int, string) {
	c.t.Helper()
	req := httptest.NewRequestWithContext(c.t.Context(), method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	c.Handler().ServeHTTP(w, req)
	route, params, err := c.routes.FindRoute(req)
	if err != nil {
		return w.Code, w.Body.String()
	}
	options := &openapi3filter.Options{AuthenticationFunc: openapi3filter.NoopAuthenticationFunc, IncludeResponseStatus: true}
	options.ExcludeResponseBody = w.Header().Get("Content-Type") != "application/json"
	in := &openapi3filter.RequestValidationInput{Request: req, PathParams: params, Route: route, Options: options}
	out := &openapi3filter.ResponseValidationInput{RequestValidationInput: in, Status: w.Code, Header: w.Header(), Options: options}
	out.SetBodyBytes(w.Body.Bytes())
	if err := openapi3filter.ValidateResponse(c.t.Context(), out); err != nil {
		c.t.Errorf("%s %s: the response does not match openapi.yaml: %v", method, path, err)
	}
	if w.Code < 300 {
		req.Body = io.NopCloser(strings.NewReader(body))
		if err := openapi3filter.ValidateRequest(c.t.Context(), in); err != nil {
			c.t.Errorf("%s %s: the request was accepted, but does not match openapi.yaml: %v", method, path, err)
		}
	}
	return w.Code, w.Body.String()
}

// upload uploads a file and returns the status and body of the response.
func (c *client) upload(text string) (int, string) {
	c.t.Helper()
	var b bytes.Buffer
	form := multipart.NewWriter(&b)
	_ = form.WriteField("purpose", "batch")
	part, _ := form.CreateFormFile("file", "in.jsonl")
	io.WriteString(part, text)
	_ = form.Close()
	return c.call("POST", "/v1/files", form.FormDataContentType(), b.String())
}

// field returns a string field of an API object or of its error.
func field(t *testing.T, body, name string) string {
	t.Helper()
	var m map[string]any
	if err := json.Unmarshal([]byte(body), &m); err != nil {
		t.Fatalf("%v in %s", err, body)
	}
	if e, ok := m["error"].(map[string]any); ok {
		m = e
	}
	s, _ := m[name].(string)
	return s
}

// createBody returns the body of a call that creates a batch.
func createBody(file string) string {
	return `{"input_file_id":"` + file + `","endpoint":"/v1/chat/completions","completion_window":"24h"}`
}

func TestUploadToResultOverTheAPI(t *testing.T) {
	c := newClient(newHarness(t, t.TempDir(), nil))
	status, body := c.upload(fileText(3) + "bad\n")
	checkEqual(t, "upload", 200, status)
	file := field(t, body, "id")
	status, body = c.call("POST", "/v1/batches", "application/json", createBody(file))
	checkEqual(t, "create", 200, status)
	id := field(t, body, "id")
	status, body = c.call("POST", "/v1/batches", "application/json", createBody(file))
	checkEqual(t, "create again", []any{200, id}, []any{status, field(t, body, "id")})
	status, body = c.call("GET", "/v1/batches/"+id, "", "")
	checkEqual(t, "poll", []any{200, "in_progress"}, []any{status, field(t, body, "status")})
	status, _ = c.call("GET", "/v1/files/"+file+"-result", "", "")
	checkEqual(t, "no result yet", 404, status)
	for i, a := range c.after(0) {
		if i == 0 {
			a.Reject(dispatch.VerdictFailed, 0)
			continue
		}
		a.serve()
	}
	status, body = c.call("GET", "/v1/batches/"+id, "", "")
	checkEqual(t, "poll", []any{200, "completed"}, []any{status, field(t, body, "status")})
	result := field(t, body, "output_file_id")
	status, _ = c.call("GET", "/v1/files/"+result, "", "")
	checkEqual(t, "result file", 200, status)
	status, _ = c.call("GET", "/v1/batches", "", "")
	checkEqual(t, "list", 200, status)
	status, body = c.call("GET", "/v1/files/"+result+"/content", "", "")
	checkEqual(t, "result", 200, status)
	n := 0
	for l := range strings.Lines(body) {
		n++
		var v any
		if err := json.Unmarshal([]byte(l), &v); err != nil {
			t.Errorf("line %s: %v", l, err)
		}
		if err := c.doc.Components.Schemas["Outcome"].Value.VisitJSON(v); err != nil {
			t.Errorf("line %s does not match openapi.yaml: %v", l, err)
		}
	}
	checkEqual(t, "lines", 4, n)
	status, _ = c.call("POST", "/v1/batches/"+id+"/cancel", "", "")
	checkEqual(t, "cancel", 409, status)
}

func TestAPIErrorsHaveTheirStatusAndCode(t *testing.T) {
	c := newClient(newHarness(t, t.TempDir(), func(k *Contract) { k.BudgetTokens = 59 }))
	c.limits.BatchFileBytes = 4000
	_, body := c.upload(fileText(2))
	file := field(t, body, "id")
	_, body = c.upload(fileText(4))
	costly := field(t, body, "id")
	const form, js = "multipart/form-data; boundary=b", "application/json"
	for _, e := range []struct {
		name, method, path, contentType, body string
		status                                int
		code                                  string
	}{
		{"no such path", "GET", "/v2/files", "", "", 404, "no_such_path"},
		{"wrong method", "DELETE", "/v1/batches", "", "", 405, "wrong_method"},
		{"no form", "POST", "/v1/files", js, "{}", 400, "invalid_value"},
		{"cut off form", "POST", "/v1/files", form, "--b\r\nContent-Disposition: form-data; name=\"file\"\r\n\r\nx", 400, "broken_upload"},
		{"no file", "POST", "/v1/files", form, "--b\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--b--", 400, "invalid_value"},
		{"other purpose", "POST", "/v1/files", form, "--b\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\ntune\r\n--b--", 400, "invalid_value"},
		{"no JSON", "POST", "/v1/batches", js, "{", 400, "invalid_value"},
		{"too large", "POST", "/v1/batches", js, strings.Repeat(" ", 1<<17), 413, "too_large"},
		{"other endpoint", "POST", "/v1/batches", js, `{"input_file_id":"` + file + `","endpoint":"/x"}`, 400, "invalid_value"},
		{"other window", "POST", "/v1/batches", js, strings.Replace(createBody(file), "24h", "1h", 1), 400, "invalid_value"},
		{"other class", "POST", "/v1/batches", js, strings.Replace(createBody(file), "}", `,"metadata":{"class":"x"}}`, 1), 400, "unknown_class"},
		{"no such file", "POST", "/v1/batches", js, createBody("file-none"), 404, "no_such_file"},
		{"a path as file", "POST", "/v1/batches", js, createBody("file-../crews"), 404, "no_such_file"},
		{"first batch", "POST", "/v1/batches", js, createBody(file), 200, ""},
		{
			"same file as another class", "POST", "/v1/batches", js,
			strings.Replace(createBody(file), "}", `,"metadata":{"class":"doc-lookup"}}`, 1), 409, "other_batch",
		},
		{"budget spent", "POST", "/v1/batches", js, createBody(costly), 429, "budget_spent"},
		{"no such batch", "GET", "/v1/batches/batch_none", "", "", 404, "no_such_batch"},
		{"cancel no such batch", "POST", "/v1/batches/none/cancel", "", "", 404, "no_such_batch"},
		{"feed of no such batch", "GET", "/v1/batches/none/events", "", "", 404, "no_such_batch"},
		{"no such content", "GET", "/v1/files/none/content", "", "", 404, "no_such_file"},
	} {
		status, body := c.call(e.method, e.path, e.contentType, e.body)
		checkEqual(t, e.name, []any{e.status, e.code}, []any{status, field(t, body, "code")})
	}
	for text, want := range map[string]string{
		itemText("a") + itemText("b") + itemText("a"): "duplicate_custom_id",
		"\n \n":                     "empty_file",
		fileText(10):                "too_many_lines",
		strings.Repeat("x\n", 2001): "file_too_large",
	} {
		_, body := c.upload(text)
		checkEqual(t, "upload", want, field(t, body, "code"))
	}
	status, _ := c.call("GET", "/v1/batches", "", "", "Authorization", "Bearer other")
	checkEqual(t, "no team", 401, status)
}

func TestBudgetIsFreeAgainAfterItsPeriod(t *testing.T) {
	c := newClient(newHarness(t, t.TempDir(), func(k *Contract) { k.BudgetTokens = 25 }))
	c.job(fileText(2))
	_, body := c.upload(fileText(1))
	file := field(t, body, "id")
	c.at += 59 * time.Minute
	req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/batches", strings.NewReader(createBody(file)))
	req.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	c.Handler().ServeHTTP(w, req)
	checkEqual(t, "too early", []any{429, "60"}, []any{w.Code, w.Header().Get("Retry-After")})
	c.at += time.Minute
	status, _ := c.call("POST", "/v1/batches", "application/json", createBody(file))
	checkEqual(t, "after the period", 200, status)
}

func TestFeedSendsEachEventOnceAndResumes(t *testing.T) {
	// Each event matches asyncapi.yaml, and a client that reconnects with Last-Event-ID gets the events after it.
	c := newClient(newHarness(t, t.TempDir(), nil))
	j := c.job(fileText(3))
	for _, a := range c.after(0) {
		a.serve()
	}
	status, body := c.call("GET", "/v1/batches/"+batchPrefix+j.record.ID+"/events", "", "")
	checkEqual(t, "status", http.StatusOK, status)
	var doc struct {
		Components struct {
			Messages map[string]struct{ Payload map[string]any }
		}
	}
	if err := yaml.Unmarshal(asyncAPI, &doc); err != nil {
		t.Fatal(err)
	}
	names := []string{}
	for part := range strings.SplitSeq(strings.TrimSpace(body), "\n\n") {
		fields := map[string]string{}
		for l := range strings.SplitSeq(part, "\n") {
			name, value, _ := strings.Cut(l, ": ")
			fields[name] = value
		}
		names = append(names, fields["id"]+" "+fields["event"])
		message, ok := doc.Components.Messages[fields["event"]]
		text, err := json.Marshal(message.Payload)
		var schema openapi3.Schema
		if !ok || err != nil || json.Unmarshal(text, &schema) != nil {
			t.Fatalf("asyncapi.yaml has no valid schema for event %q: %v", fields["event"], err)
		}
		var v any
		if err := json.Unmarshal([]byte(fields["data"]), &v); err != nil {
			t.Fatal(err)
		}
		if err := schema.VisitJSON(v); err != nil {
			t.Errorf("event %v: %v", fields, err)
		}
	}
	checkEqual(t, "events", []string{"1 line", "2 line", "3 line", "3 batch"}, names)
	_, body = c.call("GET", "/v1/batches/"+batchPrefix+j.record.ID+"/events", "", "", "Last-Event-ID", "2")
	checkEqual(t, "resumed after Last-Event-ID", true, strings.HasPrefix(body, "id: 3\nevent: line\n"))
	status, _ = c.call("GET", "/v1/batches/"+batchPrefix+j.record.ID+"/events", "", "", "Last-Event-ID", "x")
	checkEqual(t, "a bad Last-Event-ID", 400, status)
}

func TestItemsAreValidatedByTheTeamsSchema(t *testing.T) {
	schema, err := openapi3.NewLoader().LoadFromFile("../../deploy/logbook-tools.openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	r := newHarness(t, t.TempDir(), func(k *Contract) { k.schema, k.OpenAPI = schema, "logbook-tools.openapi.yaml" })
	const good = `{"custom_id":"good","method":"POST","url":"/v1/chat/completions","body":{"model":"chat","max_tokens":10,` +
		`"messages":[{"role":"system","content":"a"},{"role":"user","content":"b"}]}}` + "\n"
	j := r.job(itemText("no model") + good + strings.Replace(strings.Replace(good, "good", "long", 1), "10", "401", 1))
	out := r.after(0)
	checkEqual(t, "submitted", 1, len(out))
	out[0].serve()
	checkEqual(t, "result", []string{"1 no model failed invalid_line", "2 good served", "3 long failed invalid_line"}, outcomesOf(t, j))
}
