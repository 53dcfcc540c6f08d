package batch

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
)

// collector assembles the events of a stream into one chat completion.
type collector struct {
	id, model, finish string
	created           int64
	text              strings.Builder
	usage             json.RawMessage
	maxBytes          int // of text
}

var errResponseTooLong = errors.New("the answer is too long")

// add adds complete events. It returns errResponseTooLong if the text exceeds maxBytes.
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
			continue // [DONE], or an event that is not part of the response
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

// completion returns the chat completion as JSON.
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
	b, _ := json.Marshal(struct { // cannot fail: strings and raw JSON that was decoded before
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

// firstNonEmpty returns x, or y if x is empty.
func firstNonEmpty(x, y string) string {
	if x != "" {
		return x
	}
	return y
}
