// Command wirehost is the earlier name of simadapter, kept for one release: it says so on standard error and does the same.
package main

import (
	"fmt"
	"os"

	"notchhinge/internal/simadapter"
)

func main() {
	fmt.Fprintln(os.Stderr, "wirehost: deprecated, use simadapter, which does the same")
	if err := simadapter.New().Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
