package export

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"time"

	"github.com/klauspost/compress/zstd"

	"notchhinge/internal/trace"
)

// FileOptions say where records are written.
type FileOptions struct {
	Path  string
	Max   int64 // bytes at which the file is rotated
	Files int   // in all; the oldest is removed
	Flush time.Duration
	Queue int // bytes of records that wait for the disk
	Log   *slog.Logger
}

// File writes records as lines of JSON, in zstd frames of their own: one write a frame, each with its checksum, so that
// a torn write costs that frame only.
type File struct {
	*queue
	o    FileOptions
	f    *os.File
	size int64
	enc  *zstd.Encoder
	halt chan struct{}
	done chan struct{}
}

const (
	frameTries = 128
	maxFrame   = 64 << 20 // of a frame's content; no writer makes one so large
)

// NewFile opens the file and begins to write.
func NewFile(o FileOptions) (*File, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(128<<10), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, err
	}
	s := &File{queue: newQueue(o.Queue), o: o, enc: enc, halt: make(chan struct{}), done: make(chan struct{})}
	if err := s.open(); err != nil {
		return nil, err
	}
	go s.run()
	return s, nil
}

func (s *File) open() error {
	if err := os.MkdirAll(filepath.Dir(s.o.Path), 0o755); err != nil {
		return err
	}
	f, err := os.OpenFile(s.o.Path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	info, err := f.Stat()
	if err != nil {
		_ = f.Close() // nothing was written
		return err
	}
	s.f, s.size = f, info.Size()
	return nil
}

// Put hands a record over. It does not wait.
func (s *File) Put(t *trace.Record) { s.put(t) }

// Close writes what is queued and ends.
func (s *File) Close(context.Context) {
	close(s.halt)
	<-s.done
	_ = s.enc.Close() // frames are made whole by EncodeAll
	if s.f != nil {
		_ = s.f.Close() // Write has reported whether the records were written
	}
}

func (s *File) run() {
	defer close(s.done)
	tick := time.NewTicker(s.o.Flush)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.flush()
		case <-s.halt:
			s.flush()
			return
		}
	}
}

func (s *File) flush() {
	for {
		some := s.take(frameTries)
		if len(some) == 0 {
			return
		}
		if err := s.write(some); err != nil {
			s.o.Log.Warn("traces cannot be written", "err", err, "records", len(some))
			s.count(func(c *Counters) { c.Rejected += len(some) })
			continue
		}
		s.count(func(c *Counters) { c.Sent += len(some); c.Spans += spans(some) })
	}
}

func (s *File) write(some []*trace.Record) error {
	var text bytes.Buffer
	lines := json.NewEncoder(&text)
	for _, t := range some {
		if err := lines.Encode(t); err != nil {
			return err
		}
	}
	frame := s.enc.EncodeAll(text.Bytes(), nil)
	if s.f == nil || s.size > 0 && s.size+int64(len(frame)) > s.o.Max {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	n, err := s.f.Write(frame)
	s.size += int64(n)
	return err
}

// rotate gives each file the next number and begins a new one.
func (s *File) rotate() error {
	if s.f != nil {
		_ = s.f.Close() // Write has reported whether the records were written
		s.f = nil
		numbered := func(n int) string {
			if n == 0 {
				return s.o.Path
			}
			return s.o.Path + "." + strconv.Itoa(n)
		}
		if s.o.Files == 1 {
			if err := os.Remove(s.o.Path); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return err
			}
		}
		for n := s.o.Files - 1; n > 0; n-- {
			if err := os.Rename(numbered(n-1), numbered(n)); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return err
			}
		}
	}
	return s.open()
}

// Rotated lists a sink's files, the oldest first.
func Rotated(path string) ([]string, error) {
	found, err := filepath.Glob(path + ".*")
	if err != nil {
		return nil, err
	}
	number := func(f string) int {
		n, err := strconv.Atoi(f[len(path)+1:])
		if err != nil {
			return -1
		}
		return n
	}
	older := found[:0]
	for _, f := range found {
		if number(f) > 0 {
			older = append(older, f)
		}
	}
	sort.Slice(older, func(i, j int) bool { return number(older[i]) > number(older[j]) })
	if _, err := os.Stat(path); err == nil || len(older) == 0 {
		older = append(older, path)
	}
	return older, nil
}

// Damage is what a reader had to pass over.
type Damage struct {
	Bytes  int64 // that belong to no good frame
	Frames int   // with a wrong checksum or content
	Lines  int   // that are no record
}

func (d Damage) String() string {
	return fmt.Sprintf("%d bytes, %d frames and %d lines are damaged", d.Bytes, d.Frames, d.Lines)
}

var magic = []byte{0x28, 0xb5, 0x2f, 0xfd} // of a zstd frame

// Read calls each with every record of a sink's file, in their order, and tells what could not be read. A damaged frame
// costs its own records only. each ends the reading by returning an error.
func Read(r io.Reader, each func(*trace.Record) error) (Damage, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxFrame))
	if err != nil {
		return Damage{}, err
	}
	defer dec.Close()
	var damage Damage
	deliver := func(frame []byte) (ok bool, err error) {
		text, err := dec.DecodeAll(frame, nil)
		if err != nil {
			return false, nil
		}
		for line := range bytes.Lines(text) {
			t := &trace.Record{}
			if err := json.Unmarshal(line, t); err != nil {
				damage.Lines++
				continue
			}
			if err := each(t); err != nil {
				return true, err
			}
		}
		return true, nil
	}
	var bad []byte // a piece that is no frame by itself: it may hold the magic number by chance, and go on in the next
	pieces := splitter{in: bufio.NewReaderSize(r, 1<<20)}
	for {
		piece, end := pieces.next()
		if end != nil && !errors.Is(end, io.EOF) {
			return damage, end
		}
		switch {
		case len(piece) == 0:
		case !bytes.HasPrefix(piece, magic):
			damage.Bytes += int64(len(piece))
		default:
			ok, err := deliver(piece)
			if !ok && bad != nil {
				bad = append(bad, piece...)
				if ok, err = deliver(bad); ok {
					damage.Frames--
				}
			}
			if err != nil {
				return damage, err
			}
			if bad = nil; !ok {
				damage.Frames++
				bad = piece
			}
		}
		if end != nil {
			return damage, nil
		}
	}
}

// splitter cuts a file before each magic number.
type splitter struct {
	in   *bufio.Reader
	rest []byte
}

func (s *splitter) next() ([]byte, error) {
	piece := s.rest
	s.rest = nil
	for len(piece) < maxFrame {
		chunk, err := s.in.ReadSlice(magic[3])
		piece = append(piece, chunk...)
		if n := len(piece) - len(magic); n > 0 && bytes.HasSuffix(piece, magic) {
			s.rest = bytes.Clone(magic)
			return piece[:n], nil
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return piece, err
		}
	}
	return piece, nil
}
