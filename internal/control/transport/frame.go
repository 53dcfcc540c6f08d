package transport

import (
	"encoding/binary"
	"errors"
	"io"

	"notchhinge/internal/control/rpc"
	"notchhinge/internal/limits"
)

// MaxFrameBytes bounds the body of a frame: a state with a fleet configuration of 8 MiB, usage windows (limits.UsageBytes) and
// what is sent beside them. An earlier release accepts 9 MiB.
const MaxFrameBytes = 9<<20 + limits.UsageBytes

const (
	frameHeaderBytes = 8
	frameMagic       = "nh"
	frameVersion     = 1

	// kindError marks a response that carries the text of an error.
	kindError rpc.Kind = 0
	// firstReadBytes is how much memory a frame's header alone may claim.
	firstReadBytes = 64 << 10
)

var (
	// ErrFrameFormat is a frame of another protocol or version, or with a length above MaxFrameBytes.
	ErrFrameFormat = errors.New("unknown frame format")
	// ErrFrameTooLong is a body above MaxFrameBytes, which is not sent.
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

// readBody reads a body of a known size. The buffer grows as bytes arrive, so that a header alone does not claim the memory
// that it announces.
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
