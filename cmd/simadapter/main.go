// Command simadapter puts the decision module behind the platform simulator's wire format: batches of events on
// standard input, one reply to each on standard output, until the input ends.
package main

import (
	"fmt"
	"os"

	"notchhinge/internal/simadapter"
)

func main() {
	if err := simadapter.New().Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
