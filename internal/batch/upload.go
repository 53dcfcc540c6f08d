package batch

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// storeUpload writes an upload to the spool, validates it and stores it under the hash of its content. An invalid upload returns an
// *apiError.
func (s *Service) storeUpload(t *team, name string, r io.Reader) (fileRecord, error) {
	dir := filepath.Join(s.cfg.Spool, t.Team)
	tmp, err := os.CreateTemp(dir, "upload-*")
	if err != nil {
		return fileRecord{}, err
	}
	defer os.Remove(tmp.Name())
	defer tmp.Close()
	sum := sha256.New()
	n, err := io.Copy(io.MultiWriter(tmp, sum), io.LimitReader(r, s.limits.BatchFileBytes+1))
	if err != nil {
		return fileRecord{}, &apiError{status: 400, code: "broken_upload", message: "the upload broke off"}
	}
	if n > s.limits.BatchFileBytes {
		return fileRecord{}, &apiError{
			status: 413, code: "file_too_large",
			message: fmt.Sprintf("a file may hold %d bytes", s.limits.BatchFileBytes),
		}
	}
	if _, err := tmp.Seek(0, io.SeekStart); err != nil {
		return fileRecord{}, err
	}
	rec := fileRecord{ID: contentID(t.Team, sum.Sum(nil)), Name: name, Bytes: n, Uploaded: s.wallTime()}
	if rec.Lines, rec.Tokens, err = s.validateUpload(t, tmp); err != nil {
		return fileRecord{}, err
	}
	return s.commitUpload(dir, tmp, rec)
}

// validateUpload reads the items of an upload and returns their number and the tokens of the valid ones. Invalid items are not an
// error: they get their outcomes when they are scheduled.
func (s *Service) validateUpload(t *team, r io.Reader) (lines int, tokens int64, err error) {
	seen := map[string]int{} // line numbers by custom_id
	spans, err := indexItems(r, s.limits.BatchItemBytes, func(n int, text []byte) error {
		if n > t.MaxItems {
			return &apiError{status: 413, code: "too_many_lines", message: fmt.Sprintf("a file of this team may hold %d lines", t.MaxItems)}
		}
		in, request, _, err := parseItem(text, &t.Contract)
		if first := seen[in.CustomID]; first != 0 && in.CustomID != "" {
			return &apiError{
				status: 400, code: "duplicate_custom_id", param: "file",
				message: fmt.Sprintf("lines %d and %d have the same custom_id %q", first, n, in.CustomID),
			}
		}
		seen[in.CustomID] = n
		if err == nil {
			tokens += int64(request.PromptTokens + request.MaxTokens)
		}
		return nil
	})
	if err != nil {
		return 0, 0, err
	}
	if len(spans) == 0 {
		return 0, 0, &apiError{status: 400, code: "empty_file", param: "file", message: "the file has no lines"}
	}
	return len(spans), tokens, nil
}

// commitUpload moves a validated upload to its final directory. If the file exists already, it returns the existing record.
func (s *Service) commitUpload(dir string, tmp *os.File, rec fileRecord) (fileRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	final := filepath.Join(dir, rec.ID)
	var existing fileRecord
	if readJSON(filepath.Join(final, fileName), &existing) == nil {
		return existing, nil
	}
	if err := os.MkdirAll(final, 0o755); err != nil {
		return fileRecord{}, err
	}
	if err := tmp.Sync(); err != nil {
		return fileRecord{}, err
	}
	if err := os.Rename(tmp.Name(), filepath.Join(final, inputName)); err != nil {
		return fileRecord{}, err
	}
	return rec, writeJSON(filepath.Join(final, fileName), rec) // written last, since the API ignores a file without a record
}

// contentID returns the ID of a team's file from the SHA-256 of its content. The same content from the same team has the same ID.
func contentID(team string, sum []byte) string {
	h := sha256.Sum256(append([]byte(team+"\x00"), sum...))
	return hex.EncodeToString(h[:16])
}
