package tomlfile

import (
	"bytes"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps keys and tables, named by pathID, to their lines.
type lineIndex map[string]int

// pathID returns a path as a key of a lineIndex.
func pathID(path []string) string { return strings.Join(path, "/") }

// indexer builds a lineIndex from one TOML expression after another.
type indexer struct {
	parser       unstable.Parser
	lines        lineIndex
	arrayLengths map[string]int // number of tables read so far, by the path of their array
	table        []string       // path of the current table
}

// indexLines indexes a text up to its first syntax error. The error is an *unstable.ParserError.
func indexLines(text []byte) (lineIndex, error) {
	x := indexer{lines: lineIndex{}, arrayLengths: map[string]int{}}
	x.parser.Reset(text)
	for x.parser.NextExpression() {
		x.add(x.parser.Expression())
	}
	return x.lines, x.parser.Error()
}

// add indexes a table header, or a key and the inline tables in its value.
func (x *indexer) add(e *unstable.Node) {
	path, line := x.resolve(e)
	switch e.Kind {
	case unstable.ArrayTable:
		array := pathID(path)
		path = append(path, strconv.Itoa(x.arrayLengths[array]))
		x.arrayLengths[array]++
		x.table = path
	case unstable.Table:
		x.table = path
	case unstable.KeyValue:
		x.addInline(e.Value(), path)
	}
	if id := pathID(path); !x.lines.has(id) {
		x.lines[id] = line
	}
}

// resolve returns the path of an expression and the line of the path's last part. If a is an array of tables, the header [a.b]
// refers to the last table of a.
func (x *indexer) resolve(e *unstable.Node) (path []string, line int) {
	if e.Kind == unstable.KeyValue {
		path = slices.Clone(x.table)
	}
	for it := e.Key(); it.Next(); {
		n := it.Node()
		path = append(path, string(n.Data))
		line = x.parser.Shape(n.Raw).Start.Line
		if e.Kind == unstable.Table || e.Kind == unstable.ArrayTable && !it.IsLast() {
			if length, isArray := x.arrayLengths[pathID(path)]; isArray {
				path = append(path, strconv.Itoa(length-1))
			}
		}
	}
	return path, line
}

// addInline indexes the keys of an inline table, or of the inline tables in an array.
func (x *indexer) addInline(value *unstable.Node, path []string) {
	if value == nil {
		return
	}
	switch value.Kind {
	case unstable.Array:
		i := 0
		for it := value.Children(); it.Next(); i++ {
			x.addInline(it.Node(), append(slices.Clone(path), strconv.Itoa(i)))
		}
	case unstable.InlineTable:
		for it := value.Children(); it.Next(); {
			entry := it.Node()
			entryPath, line := slices.Clone(path), 0
			for k := entry.Key(); k.Next(); {
				entryPath = append(entryPath, string(k.Node().Data))
				line = x.parser.Shape(k.Node().Raw).Start.Line
			}
			x.lines[pathID(entryPath)] = line
			x.addInline(entry.Value(), entryPath)
		}
	}
}

func (l lineIndex) has(id string) bool { _, ok := l[id]; return ok }

// find returns the line of a key, or of the innermost enclosing table if the file does not have the key; 0 = neither.
func (l lineIndex) find(key []string) (line int) {
	for n := len(key); n > 0 && line == 0; n-- {
		line = l[pathID(key[:n])]
	}
	return line
}

// formatKey formats a path such as contract[0].team.
func formatKey(key []string) (s string) {
	for _, k := range key {
		if _, err := strconv.Atoi(k); err == nil && s != "" {
			s += "[" + k + "]"
			continue
		}
		if s != "" {
			s += "."
		}
		s += k
	}
	return s
}

// lineOf returns the line of part, a subslice of text; 0 if it is empty. It computes the offset from the capacities, because
// the parser reports the position of a syntax error only as a subslice.
func lineOf(text, part []byte) int {
	if len(part) == 0 {
		return 0
	}
	offset := cap(text) - cap(part)
	if offset < 0 || offset > len(text) {
		return 0
	}
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}
