package batch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
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

const endpoint = directory.CompletionsPath

// chatBody is what the front reads of a body.
type chatBody struct {
	MaxTokens           float64 `json:"max_tokens"`
	MaxCompletionTokens float64 `json:"max_completion_tokens"`
	Messages            []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

const (
	tokenChars       = 4   // characters of one token
	defaultMaxTokens = 800 // tokens, where a body names no limit
)

// parseItem reads a line. With an error it still returns the custom_id, if there is one.
func parseItem(text []byte, k *Contract) (l itemInput, q policy.Request, body []byte, err error) {
	if err := json.Unmarshal(text, &l); err != nil {
		return l, q, nil, fmt.Errorf("not a JSON object of this form: %w", err)
	}
	switch {
	case l.CustomID == "":
		return l, q, nil, errors.New("custom_id is missing")
	case l.Method != "POST":
		return l, q, nil, fmt.Errorf("method %q: only POST is served", l.Method)
	case l.URL != endpoint:
		return l, q, nil, fmt.Errorf("url %q: only %s is served", l.URL, endpoint)
	}
	var fields map[string]json.RawMessage
	var c chatBody
	if err := json.Unmarshal(l.Body, &fields); err != nil || fields == nil {
		return l, q, nil, errors.New("body must be a JSON object")
	}
	if err := json.Unmarshal(l.Body, &c); err != nil {
		return l, q, nil, fmt.Errorf("body: %w", err)
	}
	if len(c.Messages) == 0 {
		return l, q, nil, errors.New("body.messages must not be empty")
	}
	if err := k.validateBody(l.Method, l.URL, l.Body); err != nil {
		return l, q, nil, fmt.Errorf("body: %s", firstLine(err))
	}
	q.MaxTokens = max(c.MaxTokens, c.MaxCompletionTokens)
	if q.MaxTokens <= 0 {
		q.MaxTokens = defaultMaxTokens
	}
	for i, m := range c.Messages {
		q.PromptTokens += float64(countChars(m.Content)) / tokenChars
		if i == 0 && len(c.Messages) > 1 { // the opening, which other lines may share
			q.PrefixTokens, q.Prefix = q.PromptTokens, fingerprint(m.Content)
		}
	}
	fields["stream"] = json.RawMessage("true") // issuer hosts answer in streams
	body, err = json.Marshal(fields)
	return l, q, body, err
}

func firstLine(err error) string {
	s, _, _ := strings.Cut(err.Error(), "\n")
	return s
}

// countChars counts the characters of a message's content.
func countChars(content json.RawMessage) int {
	var s string
	if json.Unmarshal(content, &s) == nil {
		return len(s)
	}
	return len(content)
}

func fingerprint(parts ...[]byte) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write(p)
		h.Write([]byte{0})
	}
	return max(h.Sum64(), 1)
}

// span is where a line stands in its file.
type span struct {
	offset int64
	size   int
}

// indexItems finds the lines of a file, passing over blank ones. visit sees the text of each; one that is too long
// is given as nil.
func indexItems(r io.Reader, most int, visit func(n int, text []byte) error) ([]span, error) {
	br := bufio.NewReaderSize(r, 64<<10)
	var spans []span
	var at int64
	for {
		start, size, text := at, 0, []byte(nil)
		var err error
		for more := true; more; {
			var part []byte
			part, err = br.ReadSlice('\n')
			more = errors.Is(err, bufio.ErrBufferFull)
			size += len(part)
			if size <= most+1 {
				text = append(text, part...)
			}
		}
		at += int64(size)
		if size > most+1 {
			text = nil
		}
		if blank := size <= most+1 && len(bytes.TrimSpace(text)) == 0; !blank {
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

// collector puts the events of a stream together into one answer.
type collector struct {
	id, model, finish string
	created           int64
	text              strings.Builder
	usage             json.RawMessage
	maxBytes          int
}

var errResponseTooLong = errors.New("the answer is too long")

// add takes whole events.
func (c *collector) add(events []byte) error {
	for part := range bytes.SplitSeq(events, []byte("\n")) {
		data, ok := bytes.CutPrefix(bytes.TrimRight(part, "\r"), []byte("data:"))
		if !ok {
			continue
		}
		var e struct {
			ID      string `json:"id"`
			Model   string `json:"model"`
			Created int64  `json:"created"`
			Choices []struct {
				Delta        struct{ Content string } `json:"delta"`
				FinishReason string                   `json:"finish_reason"`
			} `json:"choices"`
			Usage json.RawMessage `json:"usage"`
		}
		if json.Unmarshal(data, &e) != nil {
			continue // [DONE], or what this front has no use for
		}
		c.id, c.model, c.created = firstNonEmpty(e.ID, c.id), firstNonEmpty(e.Model, c.model), max(e.Created, c.created)
		if len(e.Choices) > 0 {
			c.text.WriteString(e.Choices[0].Delta.Content)
			c.finish = firstNonEmpty(e.Choices[0].FinishReason, c.finish)
		}
		if len(e.Usage) > 0 && string(e.Usage) != "null" {
			c.usage = bytes.Clone(e.Usage)
		}
		if c.text.Len() > c.maxBytes {
			return errResponseTooLong
		}
	}
	return nil
}

func firstNonEmpty(x, y string) string {
	if x != "" {
		return x
	}
	return y
}

// completion is the whole answer as the public API gives it.
func (c *collector) completion() json.RawMessage {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index        int     `json:"index"`
		Message      message `json:"message"`
		FinishReason string  `json:"finish_reason"`
	}
	b, _ := json.Marshal(struct { // strings and raw JSON that was decoded before: it cannot fail
		ID      string          `json:"id,omitempty"`
		Object  string          `json:"object"`
		Created int64           `json:"created,omitempty"`
		Model   string          `json:"model,omitempty"`
		Choices []choice        `json:"choices"`
		Usage   json.RawMessage `json:"usage,omitempty"`
	}{
		c.id, "chat.completion", c.created, c.model,
		[]choice{{0, message{"assistant", c.text.String()}, firstNonEmpty(c.finish, "stop")}},
		c.usage,
	})
	return b
}
