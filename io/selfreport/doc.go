// Package selfreport shares the statements of targets (core/selfreport) between the goroutines of a
// host, and logs and counts what they change.
package selfreport
