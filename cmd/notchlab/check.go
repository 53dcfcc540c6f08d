package main

import (
	"errors"
	"os"

	"notchhinge/internal/lab/check"
)

type checkCmd struct {
	Lives int `help:"Lives of each walk at random; each has its number for a seed." default:"20000"`
}

// Run walks; what is found fails it.
func (c checkCmd) Run() error {
	if !check.RunAll(c.Lives, os.Stdout) {
		return errors.New("a walk has found what it must not, or not what it must")
	}
	return nil
}
