package batch

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// postBatch creates a batch from an uploaded file.
func (s *Service) postBatch(t *team, w http.ResponseWriter, r *http.Request) error {
	var in struct {
		InputFileID      string            `json:"input_file_id"`
		Endpoint         string            `json:"endpoint"`
		CompletionWindow string            `json:"completion_window"`
		Metadata         map[string]string `json:"metadata"`
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.BatchMessageBytes))
	if err != nil {
		return &apiError{status: http.StatusRequestEntityTooLarge, code: "too_large", message: "the message is too large"}
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return invalidValue("", "the message is not JSON of this form: %v", err)
	}
	if in.Endpoint != endpoint {
		return invalidValue("endpoint", "only %s is served", endpoint)
	}
	if in.CompletionWindow != "" && in.CompletionWindow != "24h" {
		return invalidValue("completion_window", "only 24h is known; the contract's line deadline is what binds")
	}
	id, ok := strings.CutPrefix(in.InputFileID, filePrefix)
	if !ok {
		return invalidValue("input_file_id", "the id of an uploaded file is required")
	}
	j, err := s.createJob(t, id, in.Metadata["class"], in.Metadata)
	if err != nil {
		return err
	}
	writeJSONResponse(w, http.StatusOK, s.batchObject(j))
	return nil
}

// getBatch serves a batch object.
func (s *Service) getBatch(t *team, w http.ResponseWriter, r *http.Request) error {
	j, err := s.findBatch(t, r)
	if err == nil {
		writeJSONResponse(w, http.StatusOK, s.batchObject(j))
	}
	return err
}

// listBatches serves the batch objects of a team, newest first.
func (s *Service) listBatches(t *team, w http.ResponseWriter, r *http.Request) error {
	s.mu.Lock()
	jobs := make([]*job, 0, len(t.jobs))
	for _, j := range t.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(x, y *job) int { return y.record.Created.Compare(x.record.Created) })
	s.mu.Unlock()
	data := []any{}
	for _, j := range jobs {
		data = append(data, s.batchObject(j))
	}
	writeJSONResponse(w, http.StatusOK, map[string]any{"object": "list", "data": data, "has_more": false})
	return nil
}

// cancelBatch requests the cancellation of a batch.
func (s *Service) cancelBatch(t *team, w http.ResponseWriter, r *http.Request) error {
	j, err := s.findBatch(t, r)
	if err != nil {
		return err
	}
	if err := s.cancelJob(j); err != nil {
		return err
	}
	writeJSONResponse(w, http.StatusOK, s.batchObject(j))
	return nil
}

// findBatch returns the team's job with the ID in the path of a call.
func (s *Service) findBatch(t *team, r *http.Request) (*job, error) {
	id, ok := strings.CutPrefix(r.PathValue("id"), batchPrefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := t.jobs[id]; ok && j != nil {
		return j, nil
	}
	return nil, &apiError{status: http.StatusNotFound, code: "no_such_batch", message: "no such batch"}
}

// batchObject returns the API object of a batch.
func (s *Service) batchObject(j *job) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	unixOrNull := func(t time.Time) any {
		if t.IsZero() {
			return nil
		}
		return t.Unix()
	}
	o := map[string]any{
		"id": batchPrefix + j.record.ID, "object": "batch", "endpoint": endpoint, "completion_window": "24h",
		"input_file_id": filePrefix + j.record.FileID, "output_file_id": nil, "error_file_id": nil, "errors": nil,
		"status": j.status(), "created_at": j.record.Created.Unix(), "completed_at": nil,
		"cancelling_at": unixOrNull(j.record.Cancelled), "cancelled_at": nil, "metadata": j.record.Metadata, "class": j.record.Class,
		"request_counts": map[string]int{
			"total": j.file.Lines, "completed": j.counts[outcomeServed], "failed": j.counts[outcomeRefused] + j.counts[outcomeFailed],
		},
		"outcomes": map[string]int{outcomeServed: j.counts[outcomeServed], outcomeRefused: j.counts[outcomeRefused], outcomeFailed: j.counts[outcomeFailed]},
	}
	if !j.record.Ended.IsZero() {
		o["output_file_id"] = filePrefix + j.record.FileID + resultSuffix
		if j.record.Cancelled.IsZero() {
			o["completed_at"] = unixOrNull(j.record.Ended)
		} else {
			o["cancelled_at"] = unixOrNull(j.record.Ended)
		}
	}
	if j.err != nil {
		o["errors"] = map[string]any{"object": "list", "data": []any{
			map[string]any{"code": "stalled", "message": "the spool cannot be read or written"},
		}}
	}
	return o
}
