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

// collector makes calls of OTLP over HTTP: protobuf, gzip, one request a batch. What the message is called there
// (ExportTraceServiceRequest) has the same form as TracesData, so that the service's stubs, which bring all of gRPC, are not
// needed.
type collector struct {
	url     string
	headers map[string]string
	client  http.Client
}

// errBusy is an answer after which the same call may be made again; after says when the collector wants it.
type errBusy struct {
	status int
	after  time.Duration
}

func (e errBusy) Error() string { return fmt.Sprintf("the collector answers %d", e.status) }

// errRejected is an answer that says that the records are not wanted.
var errRejected = errors.New("rejected")

// upload makes one call. Errors other than errRejected leave room for another try.
func (c *collector) upload(ctx context.Context, spans []*tracepb.ResourceSpans) error {
	plain, err := proto.Marshal(&tracepb.TracesData{ResourceSpans: spans})
	if err != nil {
		return fmt.Errorf("%w: %w", errRejected, err)
	}
	var body bytes.Buffer
	z := gzip.NewWriter(&body)
	_, _ = z.Write(plain) // to memory, which does not fail
	_ = z.Close()         // likewise
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
	const most = 64 << 10
	answer, err := io.ReadAll(io.LimitReader(resp.Body, most))
	if err != nil {
		return err
	}
	switch {
	case resp.StatusCode >= 200 && resp.StatusCode < 300:
		if n, says := partial(answer); n > 0 {
			return fmt.Errorf("%w: %d spans: %s", errRejected, n, says)
		}
		return nil
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusBadGateway,
		resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusGatewayTimeout:
		return errBusy{resp.StatusCode, retryAfter(resp.Header.Get("Retry-After"), time.Now())}
	}
	return fmt.Errorf("%w: %s: %.200s", errRejected, resp.Status, answer)
}

// partial reads what a collector says it has not taken: ExportTraceServiceResponse.partial_success.
func partial(b []byte) (rejected int64, says string) {
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
				says = strings.ToValidUTF8(string(v), "?")
			}
		})
	})
	return rejected, says
}

// retryAfter reads a Retry-After: seconds or a date; 0 = none.
func retryAfter(s string, now time.Time) time.Duration {
	if n, err := strconv.Atoi(s); err == nil && n > 0 {
		return time.Duration(min(n, 3600)) * time.Second
	}
	if at, err := http.ParseTime(s); err == nil {
		return max(at.Sub(now), 0)
	}
	return 0
}
