// Package cli has the subcommands of the program sassafrasward.
//
// Exit codes: 0 for success, 1 for a failure while running, 2 for wrong arguments or
// mistakes in settings or a configuration.
package cli
