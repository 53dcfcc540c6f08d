package batch

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/testutil/golden"
)

// goldenSpool writes a spool with a completed job, a job with some outcomes, a cancelled job and a file without a job.
func goldenSpool(t *testing.T, dir string) {
	t.Helper()
	r := newHarness(t, dir, nil)
	r.job(itemText("a") + "not JSON\n\n" + itemText("b"))
	out := r.after(0)
	out[0].request.CallID = "call-a" // replaces the random ID
	out[0].serve()
	out[1].Reject(dispatch.VerdictFailed, 0)
	r.after(time.Second)
	half := r.job(fileText(3))
	half.record.Metadata = map[string]string{"name": "half"}
	if err := writeJSON(filepath.Join(half.dir, jobName), half.record); err != nil {
		t.Fatal(err)
	}
	out = r.after(time.Second)
	out[1].request.CallID = "call-id-1"
	out[1].serve()
	r.after(0)
	cancelled := r.job(itemText("z"))
	if err := r.cancelJob(cancelled); err != nil {
		t.Fatal(err)
	}
	r.after(time.Second)
	if _, err := r.storeUpload(r.teams[key], "alone.jsonl", strings.NewReader(itemText("alone"))); err != nil {
		t.Fatal(err)
	}
}

// files returns the contents of the files in a directory, by path.
func files(t *testing.T, dir string) map[string]string {
	t.Helper()
	all := map[string]string{}
	err := filepath.WalkDir(dir, func(path string, e os.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		b, err := os.ReadFile(path)
		name, _ := filepath.Rel(dir, path)
		all[name] = string(b)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// TestGoldenSpoolIsWrittenAndResumed: the service must write the same files as in the golden spool, and resume that spool: ended jobs
// stay unchanged, and each remaining item gets its outcome.
func TestGoldenSpoolIsWrittenAndResumed(t *testing.T) {
	const name = "batch-folder"
	written := t.TempDir()
	goldenSpool(t, written)
	if golden.Updating() {
		golden.SaveFolder(t, name, written)
	}
	golden.Equal(t, "the files", files(t, golden.Path(name)), files(t, written))

	r := newHarness(t, golden.CopyFolder(t, name), nil)
	statuses := map[string]string{}
	var half *job
	for _, j := range r.teams[key].jobs {
		statuses[j.file.Name+" "+j.record.Created.Format("15:04:05")+" "+j.record.Metadata["name"]] = j.status()
		if j.record.Metadata["name"] == "half" {
			half = j
		}
	}
	golden.Equal(t, "the jobs", map[string]string{
		"in.jsonl 00:16:40 ": "completed", "in.jsonl 00:16:41 half": "in_progress", "in.jsonl 00:16:42 ": "cancelled",
	}, statuses)
	out := r.after(0)
	if len(out) != 2 {
		t.Fatalf("%d items are submitted, want 2", len(out))
	}
	for _, a := range out {
		a.serve()
	}
	r.after(0)
	golden.Equal(t, "outcomes", []string{"1 id-0 served", "2 id-1 served", "3 id-2 served"}, outcomesOf(t, half))
}

// TestGoldenSpoolRecordsKeepTheirBytes: decoding and encoding a record of the golden spool must yield the same bytes.
func TestGoldenSpoolRecordsKeepTheirBytes(t *testing.T) {
	checkRoundTrip := func(name string, text []byte, v any) {
		t.Helper()
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		if err := d.Decode(v); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		b, err := json.Marshal(v)
		if err != nil || !bytes.Equal(b, bytes.TrimSpace(text)) {
			t.Errorf("%s: %v\nwant %s\ngot  %s", name, err, text, b)
		}
	}
	filesByName := map[string]int{}
	for name, text := range files(t, golden.Path("batch-folder")) {
		filesByName[filepath.Base(name)]++
		switch filepath.Base(name) {
		case fileName:
			checkRoundTrip(name, []byte(text), &fileRecord{})
		case jobName:
			checkRoundTrip(name, []byte(text), &jobRecord{})
		case outcomesName, resultName:
			for l := range bytes.Lines([]byte(text)) {
				checkRoundTrip(name, l, &Outcome{})
			}
		}
	}
	golden.Equal(t, "files by name", map[string]int{"input.jsonl": 4, "file.json": 4, "job.json": 3, "outcomes.jsonl": 3, "result.jsonl": 2}, filesByName)
}
