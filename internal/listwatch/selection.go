package listwatch

import (
	"path"
	"slices"
)

// Selection is the condition on entries of a list that a pool uses. An empty field matches everything.
type Selection struct {
	Zones   []string
	Cells   []int
	Classes []string
	Names   []string // patterns as in path.Match
}

// Equal reports whether two selections have the same fields.
func (s *Selection) Equal(o *Selection) bool {
	return slices.Equal(s.Zones, o.Zones) && slices.Equal(s.Cells, o.Cells) && slices.Equal(s.Classes, o.Classes) &&
		slices.Equal(s.Names, o.Names)
}

// Matches reports whether an entry is part of the selection.
func (s *Selection) Matches(e *Entry) bool {
	return (len(s.Zones) == 0 || slices.Contains(s.Zones, e.Zone)) &&
		(len(s.Cells) == 0 || slices.Contains(s.Cells, e.Cell)) &&
		(len(s.Classes) == 0 || slices.Contains(s.Classes, e.Class)) &&
		(len(s.Names) == 0 || slices.ContainsFunc(s.Names, func(pattern string) bool {
			ok, _ := path.Match(pattern, e.Name) // patterns are validated with the settings
			return ok
		}))
}

func (s *Selection) isEverything() bool {
	return len(s.Zones)+len(s.Cells)+len(s.Classes)+len(s.Names) == 0
}
