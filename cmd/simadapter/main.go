// Command simadapter connects the decision module to the platform's simulator. It reads batches of events from standard input
// and writes one reply to each to standard output, until the input ends.
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
