// Command wirehost is the deprecated name of simadapter, which remains for one release. It behaves like simadapter and prints a
// deprecation notice to standard error.
package main

import (
	"fmt"
	"os"

	"notchhinge/internal/simadapter"
)

func main() {
	fmt.Fprintln(os.Stderr, "wirehost: this command is deprecated; use simadapter instead")
	if err := simadapter.New().Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
