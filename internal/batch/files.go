package batch

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// postFile stores an upload. The form has the parts purpose and file, in any order.
func (s *Service) postFile(t *team, w http.ResponseWriter, r *http.Request) error {
	r.Body = http.MaxBytesReader(w, r.Body, s.limits.BatchFileBytes+s.limits.BatchMessageBytes)
	form, err := r.MultipartReader()
	if err != nil {
		return invalidValue("", "a form of type multipart/form-data is required")
	}
	var rec fileRecord
	purpose := ""
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return invalidValue("", "the form is malformed or cut off")
		}
		switch part.FormName() {
		case "purpose":
			text, err := io.ReadAll(io.LimitReader(part, 64))
			if err != nil {
				return invalidValue("purpose", "the form is malformed or cut off")
			}
			if purpose = string(text); purpose != "batch" {
				return invalidValue("purpose", "only the purpose batch is served")
			}
		case "file":
			if rec.ID != "" {
				return invalidValue("file", "one file at a time")
			}
			_, params, _ := mime.ParseMediaType(part.Header.Get("Content-Disposition"))
			if rec, err = s.storeUpload(t, filepath.Base(firstNonEmpty(params["filename"], "batch.jsonl")), part); err != nil {
				return err
			}
		}
	}
	if rec.ID == "" || purpose == "" {
		return invalidValue("file", "the parts purpose and file are both required")
	}
	writeJSONResponse(w, http.StatusOK, fileObject(rec))
	return nil
}

// getFile serves a file object.
func (s *Service) getFile(t *team, w http.ResponseWriter, r *http.Request) error {
	rec, _, err := s.findFile(t, r.PathValue("id"))
	if err != nil {
		return err
	}
	o := fileObject(rec)
	if strings.HasSuffix(rec.ID, resultSuffix) {
		o["purpose"] = "batch_output"
	}
	writeJSONResponse(w, http.StatusOK, o)
	return nil
}

// getContent serves the content of an input or result file.
func (s *Service) getContent(t *team, w http.ResponseWriter, r *http.Request) error {
	_, path, err := s.findFile(t, r.PathValue("id"))
	if err != nil {
		return err
	}
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	w.Header().Set("Content-Type", "application/jsonl")
	http.ServeContent(w, r, "", time.Time{}, f)
	return nil
}

// findFile returns the record and the path of an input or result file by its ID in the API.
func (s *Service) findFile(t *team, publicID string) (rec fileRecord, path string, err error) {
	notFound := &apiError{status: http.StatusNotFound, code: "no_such_file", message: "no such file"}
	id, ok := strings.CutPrefix(publicID, filePrefix)
	id, isResult := strings.CutSuffix(id, resultSuffix)
	dir := filepath.Join(s.cfg.Spool, t.Team, id)
	if !ok || !isPlainName(id) || readJSON(filepath.Join(dir, fileName), &rec) != nil {
		return rec, "", notFound
	}
	path = filepath.Join(dir, inputName)
	if isResult {
		path = filepath.Join(dir, resultName)
		rec.ID += resultSuffix
		rec.Name = "result-" + rec.Name
	}
	info, err := os.Stat(path)
	if err != nil {
		return rec, "", notFound
	}
	if isResult {
		rec.Bytes, rec.Uploaded, rec.Tokens = info.Size(), info.ModTime(), 0
	}
	return rec, path, nil
}

// fileObject returns the API object of a file.
func fileObject(rec fileRecord) map[string]any {
	return map[string]any{
		"id": filePrefix + rec.ID, "object": "file", "purpose": "batch", "filename": rec.Name, "bytes": rec.Bytes,
		"created_at": rec.Uploaded.Unix(), "lines": rec.Lines, "tokens": rec.Tokens,
	}
}
