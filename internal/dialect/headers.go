package dialect

import (
	"net/http"
	"strings"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/frontend"
)

// Headers of the platform, in canonical form.
const (
	deadlineHeader = "X-Deadline-Remaining-Ms"
	prefixHeader   = "X-Prompt-Prefix"
	keyHeader      = "X-Credential"
	tenantHeader   = "X-Tenant"
	expectHeader   = "X-Expect-Instance"
	notRunHeader   = "X-Not-Executed"
	idHeader       = "X-Request-Id"
)

// headBytes is the initial buffer size for an encoded head, in bytes.
const headBytes = 512

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1) and the headers that the router replaces by its own.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// connectionHeaders returns the headers that Connection headers list; these are hop-by-hop as well.
func connectionHeaders(h http.Header) map[string]bool {
	var names map[string]bool
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if names == nil {
				names = map[string]bool{}
			}
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// forwardedHeaders encodes the headers that are forwarded to an engine, with the tenant if there is one.
func forwardedHeaders(h http.Header, tenant *fleetconfig.Tenant) []byte {
	b := make([]byte, 0, headBytes)
	connection := connectionHeaders(h)
	for name, values := range h {
		switch {
		case hopByHop[name], connection[name], name == "Host", name == keyHeader, name == tenantHeader, name == expectHeader, name == deadlineHeader:
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

// responseHead encodes the head of a forwarded response.
func responseHead(request *frontend.Request, resp *http.Response) frontend.ResponseHead {
	b := make([]byte, 0, headBytes)
	b = append(b, "HTTP/1.1 "...)
	b = append(b, resp.Status...)
	b = append(b, "\r\n"...)
	connection := connectionHeaders(resp.Header)
	for name, values := range resp.Header {
		if hopByHop[name] || connection[name] {
			continue
		}
		for _, v := range values {
			b = appendHeader(b, name, v)
		}
	}
	head := frontend.ResponseHead{Lines: b, ContentLength: resp.ContentLength}
	switch {
	case request.Upstream.Method == http.MethodHead, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		head.NoBody = true
	}
	return head
}

// impliesNotRun reports whether clients take a status to mean that their request has not run and will not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
