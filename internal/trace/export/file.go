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

// FileOptions configure a File.
type FileOptions struct {
	Path  string
	Max   int64         // bytes at which the file is rotated
	Files int           // number of files, with the current one; the oldest is removed
	Flush time.Duration // interval of writes
	Queue int           // bytes of queued records
	Log   *slog.Logger
}

// File is an exporter that writes records as lines of JSON in zstd frames. Each frame has a checksum and is written by one
// call, so that a torn write damages only that frame.
type File struct {
	*queue
	options  FileOptions
	file     *os.File
	size     int64
	enc      *zstd.Encoder
	stopping chan struct{}
	done     chan struct{}
}

const (
	recordsPerFrame = 128
	maxFrameSize    = 64 << 20 // bytes that Read accepts for a frame, far more than a File writes
)

// NewFile opens the file and starts the writer.
func NewFile(options FileOptions) (*File, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(128<<10), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, err
	}
	s := &File{
		queue: newQueue(options.Queue), options: options, enc: enc, stopping: make(chan struct{}),
		done: make(chan struct{}),
	}
	if err := s.open(); err != nil {
		return nil, err
	}
	go s.run()
	return s, nil
}

func (s *File) open() error {
	if err := os.MkdirAll(filepath.Dir(s.options.Path), 0o755); err != nil {
		return err
	}
	f, err := os.OpenFile(s.options.Path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	info, err := f.Stat()
	if err != nil {
		_ = f.Close() // no data was written
		return err
	}
	s.file, s.size = f, info.Size()
	return nil
}

// Put queues a record. It does not block.
func (s *File) Put(record *trace.Record) { s.put(record) }

// Close writes the queued records and closes the file.
func (s *File) Close(context.Context) {
	close(s.stopping)
	<-s.done
	_ = s.enc.Close() // EncodeAll leaves nothing to flush
	if s.file != nil {
		_ = s.file.Close() // Write has reported whether the records were written
	}
}

func (s *File) run() {
	defer close(s.done)
	tick := time.NewTicker(s.options.Flush)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.flush()
		case <-s.stopping:
			s.flush()
			return
		}
	}
}

func (s *File) flush() {
	for {
		records := s.take(recordsPerFrame)
		if len(records) == 0 {
			return
		}
		if err := s.write(records); err != nil {
			s.options.Log.Warn("cannot write trace records", "err", err, "records", len(records))
			s.count(func(c *Counters) { c.Rejected += len(records) })
			continue
		}
		s.count(func(c *Counters) { c.Sent += len(records); c.Spans += countSpans(records) })
	}
}

func (s *File) write(records []*trace.Record) error {
	var text bytes.Buffer
	lines := json.NewEncoder(&text)
	for _, record := range records {
		if err := lines.Encode(record); err != nil {
			return err
		}
	}
	frame := s.enc.EncodeAll(text.Bytes(), nil)
	if s.file == nil || s.size > 0 && s.size+int64(len(frame)) > s.options.Max {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	n, err := s.file.Write(frame)
	s.size += int64(n)
	return err
}

// rotate renames each file to the next number and opens a new one.
func (s *File) rotate() error {
	if s.file != nil {
		_ = s.file.Close() // Write has reported whether the records were written
		s.file = nil
		numbered := func(n int) string {
			if n == 0 {
				return s.options.Path
			}
			return s.options.Path + "." + strconv.Itoa(n)
		}
		if s.options.Files == 1 {
			if err := os.Remove(s.options.Path); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return err
			}
		}
		for n := s.options.Files - 1; n > 0; n-- {
			if err := os.Rename(numbered(n-1), numbered(n)); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return err
			}
		}
	}
	return s.open()
}

// Rotated returns the files that a File with this path has written, the oldest first.
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

// Damage counts the data that Read skipped.
type Damage struct {
	Bytes  int64 // outside a frame
	Frames int   // that cannot be decoded, for example because of a wrong checksum
	Lines  int   // that are not a record
}

func (d Damage) String() string {
	return fmt.Sprintf("%d bytes, %d frames and %d lines are damaged", d.Bytes, d.Frames, d.Lines)
}

var magic = []byte{0x28, 0xb5, 0x2f, 0xfd} // of a zstd frame

// Read calls each with every record of a trace file, in order, and returns what it had to skip. A damaged frame loses
// only its own records. Read stops at the first error of each and returns it.
func Read(r io.Reader, each func(*trace.Record) error) (Damage, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxFrameSize))
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
			record := &trace.Record{}
			if err := json.Unmarshal(line, record); err != nil {
				damage.Lines++
				continue
			}
			if err := each(record); err != nil {
				return true, err
			}
		}
		return true, nil
	}
	var undecoded []byte // a piece that cannot be decoded alone: it may be a frame that contains the magic number by chance
	pieces := splitter{in: bufio.NewReaderSize(r, 1<<20)}
	for {
		piece, readErr := pieces.next()
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return damage, readErr
		}
		switch {
		case len(piece) == 0:
		case !bytes.HasPrefix(piece, magic):
			damage.Bytes += int64(len(piece))
		default:
			ok, err := deliver(piece)
			if !ok && undecoded != nil {
				undecoded = append(undecoded, piece...)
				if ok, err = deliver(undecoded); ok {
					damage.Frames--
				}
			}
			if err != nil {
				return damage, err
			}
			if undecoded = nil; !ok {
				damage.Frames++
				undecoded = piece
			}
		}
		if readErr != nil {
			return damage, nil
		}
	}
}

// splitter splits a file before each magic number.
type splitter struct {
	in   *bufio.Reader
	rest []byte
}

func (s *splitter) next() ([]byte, error) {
	piece := s.rest
	s.rest = nil
	for len(piece) < maxFrameSize {
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
