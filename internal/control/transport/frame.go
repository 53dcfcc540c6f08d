package transport

import (
	"encoding/binary"
	"errors"
	"io"

	"notchhinge/internal/control/rpc"
	"notchhinge/internal/limits"
)

// MaxFrameBytes is the maximum size of a frame's body. It has room for a snapshot with a fleet configuration of 8 MiB, the
// usage windows (limits.UsageBytes), and the other fields of the message. An earlier release accepts at most 9 MiB.
const MaxFrameBytes = 9<<20 + limits.UsageBytes

const (
	frameHeaderBytes = 8
	frameMagic       = "nh"
	frameVersion     = 1

	// kindError is the kind of a response whose body is the text of an error.
	kindError rpc.Kind = 0
	// firstReadBytes is the most memory that is allocated for a body before any of it has arrived.
	firstReadBytes = 64 << 10
)

var (
	// ErrFrameFormat is returned for a frame of another protocol or version, or with a length above MaxFrameBytes.
	ErrFrameFormat = errors.New("unknown frame format")
	// ErrFrameTooLong is returned for a body above MaxFrameBytes, which is not sent.
	ErrFrameTooLong = errors.New("frame too long")
)

// readFrame reads one frame.
func readFrame(r io.Reader) (kind rpc.Kind, body []byte, err error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(header[4:])
	if string(header[:2]) != frameMagic || header[2] != frameVersion || size > MaxFrameBytes {
		return 0, nil, ErrFrameFormat
	}
	body, err = readBody(r, int(size))
	return rpc.Kind(header[3]), body, err
}

// readBody reads a body of a known size. The buffer grows as bytes arrive, so that a peer cannot claim a large buffer by
// sending only a header.
func readBody(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, 0, min(size, firstReadBytes))
	for len(body) < size {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(2*cap(body), size)), body...)
		}
		n, err := r.Read(body[len(body):min(cap(body), size)])
		body = body[:len(body)+n]
		if err != nil && len(body) < size {
			return nil, err
		}
	}
	return body, nil
}

// writeFrame writes one frame in a single write.
func writeFrame(w io.Writer, kind rpc.Kind, body []byte) error {
	if len(body) > MaxFrameBytes {
		return ErrFrameTooLong
	}
	b := make([]byte, 0, frameHeaderBytes+len(body))
	b = append(b, frameMagic...)
	b = append(b, frameVersion, byte(kind))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	_, err := w.Write(append(b, body...))
	return err
}
