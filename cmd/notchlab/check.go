package main

import (
	"errors"
	"os"

	"notchhinge/internal/lab/check"
)

type checkCmd struct {
	Lives int `help:"Number of random executions of each walk; execution N has seed N." default:"20000"`
}

// Run runs all walks. It fails if a walk finds a violation, or if a walk with a deliberately broken rule finds none.
func (c checkCmd) Run() error {
	if !check.RunAll(c.Lives, os.Stdout) {
		return errors.New("a walk found a violation, or a walk with a broken rule found none")
	}
	return nil
}
