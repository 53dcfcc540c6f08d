package batch

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Names of files in the spool. The spool directory has one directory per team, with one directory per uploaded file, named by the hash
// of the content. That directory contains the input file, its record (file.json), the record of the job (job.json), the outcomes in
// the order in which they were recorded (outcomes.jsonl) and, when the job is completed, the result file (result.jsonl).
const (
	inputName    = "input.jsonl"
	fileName     = "file.json"
	jobName      = "job.json"
	outcomesName = "outcomes.jsonl"
	resultName   = "result.jsonl"
)

// fileRecord describes an uploaded file.
type fileRecord struct {
	ID       string    `json:"id"`
	Name     string    `json:"name"`
	Bytes    int64     `json:"bytes"`
	Lines    int       `json:"lines"`
	Tokens   int64     `json:"tokens"` // prompt tokens and max_tokens of the valid items
	Uploaded time.Time `json:"uploaded"`
}

// jobRecord describes a job. Cancelled and Ended are zero until the job is cancelled or has ended.
type jobRecord struct {
	ID        string            `json:"id"`
	FileID    string            `json:"file_id"`
	Class     string            `json:"class"`
	Metadata  map[string]string `json:"metadata,omitempty"`
	Created   time.Time         `json:"created"`
	Cancelled time.Time         `json:"cancelled,omitzero"`
	Ended     time.Time         `json:"ended,omitzero"`
}

// readJSON decodes a file into v.
func readJSON(path string, v any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}

// writeJSON atomically replaces the content of a file by the JSON of v.
func writeJSON(path string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return replaceFile(path, func(w io.Writer) error { _, err := w.Write(b); return err })
}

// replaceFile writes a temporary file with fill and renames it to path, so that a crash leaves either the old or the new file.
func replaceFile(path string, fill func(io.Writer) error) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), "new-*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name())
	w := bufio.NewWriter(tmp)
	err = errors.Join(fill(w), w.Flush(), tmp.Sync(), tmp.Close())
	if err != nil {
		return err
	}
	return os.Rename(tmp.Name(), path)
}

// removeTemporaryFiles removes the temporary files of interrupted uploads and writes from a directory.
func removeTemporaryFiles(dir string) {
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), "upload-") || strings.HasPrefix(e.Name(), "new-") {
			_ = os.Remove(filepath.Join(dir, e.Name())) // if this fails, the next start tries again
		}
	}
}
