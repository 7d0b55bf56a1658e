// Package cli implements the subcommands of the program sassafrasward.
//
// Exit codes: 0 for success, 1 for a failure while running, 2 for invalid arguments,
// settings, configurations or traces.
package cli
