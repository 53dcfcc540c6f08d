package tomlfile

import (
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Source maps the keys of a file to their lines, for error messages.
type Source struct {
	path  string
	lines lineIndex
}

// Errorf returns an error about a key. The key is a path of names of tables and keys, and indices of array entries. If the file
// does not have the key, the error has the line of the innermost enclosing table.
func (s *Source) Errorf(key []string, format string, args ...any) Error {
	return Error{File: s.path, Line: s.lines.find(key), Key: formatKey(key), Message: fmt.Sprintf(format, args...)}
}

// Check parses a text and validates it against a JSON Schema. It returns the lines of the text's keys and all violations of the
// schema. If the text is not valid TOML, the error is of type Errors; any other error means that the check itself failed.
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
	if err := toml.Unmarshal(text, &tree); err != nil { // for example a duplicate key
		e := Error{File: path, Message: err.Error()}
		if decodeErr := (*toml.DecodeError)(nil); errors.As(err, &decodeErr) {
			e.Line, _ = decodeErr.Position()
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
