// Command wirehost runs balancers on the simulator's wire: batches of events on standard input, one reply
// each on standard output, until the input ends.
package main

import (
	"fmt"
	"os"

	"notchhinge/internal/wire"
)

func main() {
	if err := wire.NewHost().Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
