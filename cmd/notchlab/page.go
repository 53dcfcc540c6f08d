package main

import (
	"os"

	"notchhinge/internal/lab/scale"
)

type pageCmd struct {
	Page    string `arg:"" help:"Path of the page." default:"docs/CAPACITY.md" type:"path"`
	Results string `help:"Directory of the results." default:"lab/results" type:"path"`
}

// Run regenerates the page's tables.
func (c pageCmd) Run() error {
	text, err := os.ReadFile(c.Page)
	if err != nil {
		return usageError{err}
	}
	results, err := scale.Load(c.Results)
	if err != nil {
		return usageError{err}
	}
	updated, err := scale.Page(string(text), results)
	if err != nil {
		return usageError{err}
	}
	return os.WriteFile(c.Page, []byte(updated), 0o644)
}
