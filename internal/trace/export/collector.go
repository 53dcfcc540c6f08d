package export

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// collector is a client of OTLP over HTTP, with protobuf and gzip. It encodes a batch as TracesData, which has the same
// encoding as ExportTraceServiceRequest, because the stubs of the service depend on gRPC.
type collector struct {
	url     string
	headers map[string]string
	client  http.Client
}

// errBusy is a response after which the call may be repeated; after is the collector's Retry-After, or 0.
type errBusy struct {
	status int
	after  time.Duration
}

func (e errBusy) Error() string { return fmt.Sprintf("collector responded with status %d", e.status) }

// errRejected says that the collector rejected the records, so that the call must not be repeated.
var errRejected = errors.New("rejected")

// upload makes one call. After an error other than errRejected it may be called again.
func (c *collector) upload(ctx context.Context, spans []*tracepb.ResourceSpans) error {
	encoded, err := proto.Marshal(&tracepb.TracesData{ResourceSpans: spans})
	if err != nil {
		return fmt.Errorf("%w: %w", errRejected, err)
	}
	var body bytes.Buffer
	z := gzip.NewWriter(&body)
	_, _ = z.Write(encoded) // writes to memory do not fail
	_ = z.Close()           // likewise
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, &body)
	if err != nil {
		return fmt.Errorf("%w: %w", errRejected, err)
	}
	for k, v := range c.headers {
		req.Header.Set(k, v)
	}
	req.Header.Set("Content-Type", "application/x-protobuf")
	req.Header.Set("Content-Encoding", "gzip")
	req.Header.Set("User-Agent", "notchhinge")
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	const maxResponse = 64 << 10
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return err
	}
	switch {
	case resp.StatusCode >= 200 && resp.StatusCode < 300:
		if n, message := partialSuccess(respBody); n > 0 {
			return fmt.Errorf("%w: %d spans: %s", errRejected, n, message)
		}
		return nil
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusBadGateway,
		resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusGatewayTimeout:
		return errBusy{resp.StatusCode, retryAfter(resp.Header.Get("Retry-After"), time.Now())}
	}
	return fmt.Errorf("%w: %s: %.200s", errRejected, resp.Status, respBody)
}

// partialSuccess decodes ExportTraceServiceResponse.partial_success: the number of rejected spans and the message.
func partialSuccess(b []byte) (rejected int64, message string) {
	each := func(b []byte, f func(n protowire.Number, t protowire.Type, v []byte, u uint64)) {
		for len(b) > 0 {
			n, t, k := protowire.ConsumeTag(b)
			if k < 0 {
				return
			}
			b = b[k:]
			var v []byte
			var u uint64
			switch t {
			case protowire.VarintType:
				u, k = protowire.ConsumeVarint(b)
			case protowire.BytesType:
				v, k = protowire.ConsumeBytes(b)
			default:
				k = protowire.ConsumeFieldValue(n, t, b)
			}
			if k < 0 {
				return
			}
			f(n, t, v, u)
			b = b[k:]
		}
	}
	each(b, func(n protowire.Number, t protowire.Type, v []byte, _ uint64) {
		if n != 1 || t != protowire.BytesType {
			return
		}
		each(v, func(n protowire.Number, t protowire.Type, v []byte, u uint64) {
			switch {
			case n == 1 && t == protowire.VarintType:
				rejected = int64(u)
			case n == 2 && t == protowire.BytesType:
				message = strings.ToValidUTF8(string(v), "?")
			}
		})
	})
	return rejected, message
}

// retryAfter parses a Retry-After header, in seconds or as a date; 0 = none.
func retryAfter(s string, now time.Time) time.Duration {
	if n, err := strconv.Atoi(s); err == nil && n > 0 {
		return time.Duration(min(n, 3600)) * time.Second
	}
	if at, err := http.ParseTime(s); err == nil {
		return max(at.Sub(now), 0)
	}
	return 0
}
