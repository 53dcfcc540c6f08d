package dialect

import (
	"net/http"
	"strings"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/frontend"
)

// Headers of the platform, in their canonical form.
const (
	deadlineHeader = "X-Deadline-Remaining-Ms"
	prefixHeader   = "X-Prompt-Prefix"
	keyHeader      = "X-Credential"
	tenantHeader   = "X-Tenant"
	expectHeader   = "X-Expect-Instance"
	notRunHeader   = "X-Not-Executed"
	idHeader       = "X-Request-Id"
)

// headBytes is the usual size of a head.
const headBytes = 512

// hopByHop lists the headers that concern one connection only (RFC 9110, section 7.6.1), and those that are written anew.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// connectionHeaders lists the headers that a Connection header names: they are hop-by-hop, too.
func connectionHeaders(h http.Header) map[string]bool {
	var all map[string]bool
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if all == nil {
				all = map[string]bool{}
			}
			all[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return all
}

// forwardedHeaders encodes the headers that an engine is sent.
func forwardedHeaders(h http.Header, tenant *fleetconfig.Tenant) []byte {
	b := make([]byte, 0, headBytes)
	named := connectionHeaders(h)
	for name, values := range h {
		switch {
		case hopByHop[name], named[name], name == "Host", name == keyHeader, name == tenantHeader, name == expectHeader, name == deadlineHeader:
			continue
		}
		for _, v := range values {
			b = appendHeader(b, name, v)
		}
	}
	if tenant != nil {
		b = appendHeader(b, tenantHeader, tenant.Name)
	}
	return b
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// responseHead encodes the head of a response for its client.
func responseHead(m *frontend.Request, resp *http.Response) frontend.ResponseHead {
	b := make([]byte, 0, headBytes)
	b = append(b, "HTTP/1.1 "...)
	b = append(b, resp.Status...)
	b = append(b, "\r\n"...)
	named := connectionHeaders(resp.Header)
	for name, values := range resp.Header {
		if hopByHop[name] || named[name] {
			continue
		}
		for _, v := range values {
			b = appendHeader(b, name, v)
		}
	}
	head := frontend.ResponseHead{Lines: b, ContentLength: resp.ContentLength}
	switch {
	case m.Upstream.Method == http.MethodHead, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		head.NoBody = true
	}
	return head
}

// promisesNotRun reports whether a status promises a client that its request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
