// Command lab2 runs the cases of the second review: one case, or one engine as a process of its own.
package main

import (
	"fmt"
	"os"
)

// cases has the cases by name.
var cases = map[string]func(r *run) error{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		if err := serveEngine(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}
