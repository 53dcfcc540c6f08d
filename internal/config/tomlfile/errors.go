package tomlfile

import (
	"slices"
	"strconv"
	"strings"
)

// Error is one error in a file.
type Error struct {
	File    string
	Line    int    // counted from 1; 0 = the whole file
	Key     string // such as trace.otlp.endpoint or contract[0].team; "" = none
	Message string // what is wrong, and what is expected
}

// Error returns the file, the line, the key and the message.
func (e Error) Error() string {
	s := e.File
	if e.Line > 0 {
		s += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		s += ": " + e.Key
	}
	return s + ": " + e.Message
}

// Errors lists all errors in a file.
type Errors []Error

// Error returns one line for each error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Sorted sorts the errors by line, in place, and returns them. Errors on the same line keep their order.
func (e Errors) Sorted() Errors {
	slices.SortStableFunc(e, func(x, y Error) int { return x.Line - y.Line })
	return e
}
