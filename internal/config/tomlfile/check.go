package tomlfile

import (
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Source knows in which line of a file each key is.
type Source struct {
	path  string
	lines lineIndex
}

// Errorf is an error of a key: names of tables and keys, and indices of array entries. A key that the file does not have gets
// the line of the table that it belongs to.
func (s *Source) Errorf(key []string, format string, args ...any) Error {
	return Error{File: s.path, Line: s.lines.find(key), Key: formatKey(key), Message: fmt.Sprintf(format, args...)}
}

// Check parses a text and validates it against a JSON Schema. It returns the lines of its keys and everything that violates
// the schema. The error is Errors for a text that is not TOML; any other one says that the check itself failed.
func Check(text []byte, path string, schema []byte) (*Source, Errors, error) {
	lines, err := indexLines(text)
	var syntax *unstable.ParserError
	switch {
	case errors.As(err, &syntax):
		return nil, nil, Errors{{File: path, Line: lineOf(text, syntax.Highlight), Message: syntax.Message}}
	case err != nil:
		return nil, nil, Errors{{File: path, Message: err.Error()}}
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil { // a key that is given twice, for one
		e := Error{File: path, Message: err.Error()}
		if d := (*toml.DecodeError)(nil); errors.As(err, &d) {
			e.Line, _ = d.Position()
		}
		return nil, nil, Errors{e}
	}
	s := &Source{path, lines}
	errs, err := s.validate(tree, schema)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, errs, nil
}
