package main

import (
	"errors"
	"os"

	"notchhinge/internal/lab/check"
)

type checkCmd struct {
	Lives int `help:"Random executions of each model; execution N has seed N." default:"20000"`
}

// Run checks all models. It fails if a model breaks an invariant, or if a deliberately broken model does not.
func (c checkCmd) Run() error {
	if !check.All(c.Lives, os.Stdout) {
		return errors.New("a model broke an invariant, or a deliberately broken model was not detected")
	}
	return nil
}
