package batch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"strings"

	"notchhinge/internal/directory"
	"notchhinge/policy"
)

// itemInput is one line of an uploaded file.
type itemInput struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// endpoint is the only URL that items may have.
const endpoint = directory.CompletionsPath

// chatBody has the fields of a request body that the service uses.
type chatBody struct {
	MaxTokens           float64 `json:"max_tokens"`
	MaxCompletionTokens float64 `json:"max_completion_tokens"`
	Messages            []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

const (
	bytesPerToken    = 4   // estimate
	defaultMaxTokens = 800 // for bodies without a limit
)

// parseItem decodes and validates one line of a file. It returns the request for the decision module and the body to send. With an
// error, in.CustomID is set if the line has one.
func parseItem(text []byte, contract *Contract) (in itemInput, request policy.Request, body []byte, err error) {
	if err := json.Unmarshal(text, &in); err != nil {
		return in, request, nil, fmt.Errorf("not a JSON object of this form: %w", err)
	}
	switch {
	case in.CustomID == "":
		return in, request, nil, errors.New("custom_id is missing")
	case in.Method != "POST":
		return in, request, nil, fmt.Errorf("method %q: only POST is served", in.Method)
	case in.URL != endpoint:
		return in, request, nil, fmt.Errorf("url %q: only %s is served", in.URL, endpoint)
	}
	var fields map[string]json.RawMessage
	var chat chatBody
	if err := json.Unmarshal(in.Body, &fields); err != nil || fields == nil {
		return in, request, nil, errors.New("body must be a JSON object")
	}
	if err := json.Unmarshal(in.Body, &chat); err != nil {
		return in, request, nil, fmt.Errorf("body: %w", err)
	}
	if len(chat.Messages) == 0 {
		return in, request, nil, errors.New("body.messages must not be empty")
	}
	if err := contract.validateBody(in.Method, in.URL, in.Body); err != nil {
		return in, request, nil, fmt.Errorf("body: %s", firstLine(err))
	}
	request.MaxTokens = max(chat.MaxTokens, chat.MaxCompletionTokens)
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxTokens
	}
	for i, m := range chat.Messages {
		request.PromptTokens += float64(contentBytes(m.Content)) / bytesPerToken
		if i == 0 && len(chat.Messages) > 1 { // other items may have the same first message
			request.PrefixTokens, request.Prefix = request.PromptTokens, fingerprint(m.Content)
		}
	}
	fields["stream"] = json.RawMessage("true") // engines respond with event streams
	body, err = json.Marshal(fields)
	return in, request, body, err
}

// firstLine returns the first line of an error message.
func firstLine(err error) string {
	s, _, _ := strings.Cut(err.Error(), "\n")
	return s
}

// contentBytes returns the length of a message's content in bytes. Content that is not a string counts with its JSON encoding.
func contentBytes(content json.RawMessage) int {
	var s string
	if json.Unmarshal(content, &s) == nil {
		return len(s)
	}
	return len(content)
}

// fingerprint returns the FNV-1a hash of the parts, never 0.
func fingerprint(parts ...[]byte) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write(p)
		h.Write([]byte{0})
	}
	return max(h.Sum64(), 1)
}

// span is the position of a line in its file, in bytes.
type span struct {
	offset int64
	size   int // including the line break
}

// indexItems returns the positions of the lines of a file that are not blank. It calls visit with the number of each, starting at 1, and
// its text, which is nil if the line is longer than maxBytes.
func indexItems(r io.Reader, maxBytes int, visit func(n int, text []byte) error) ([]span, error) {
	br := bufio.NewReaderSize(r, 64<<10)
	var spans []span
	var offset int64
	for {
		start, size, text := offset, 0, []byte(nil)
		var err error
		for more := true; more; {
			var part []byte
			part, err = br.ReadSlice('\n')
			more = errors.Is(err, bufio.ErrBufferFull)
			size += len(part)
			if size <= maxBytes+1 {
				text = append(text, part...)
			}
		}
		offset += int64(size)
		if size > maxBytes+1 {
			text = nil
		}
		if blank := size <= maxBytes+1 && len(bytes.TrimSpace(text)) == 0; !blank {
			spans = append(spans, span{start, size})
			if err := visit(len(spans), bytes.TrimSpace(text)); err != nil {
				return nil, err
			}
		}
		if errors.Is(err, io.EOF) {
			return spans, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readItemText reads one line of an input file. The text is nil if the line is longer than maxBytes.
func readItemText(f *os.File, s span, maxBytes int) ([]byte, error) {
	if s.size > maxBytes+1 {
		return nil, nil
	}
	b := make([]byte, s.size)
	if _, err := f.ReadAt(b, s.offset); err != nil {
		return nil, err
	}
	return bytes.TrimSpace(b), nil
}
