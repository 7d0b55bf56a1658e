// Package event holds the catalogue of numbered log events and writes them.
//
// Each log line of the daemon has the number of its event, so that operators can look it up
// in docs/events.md and set alerts on it. The daemon writes log lines only with Log and
// LogError. A test compares the catalogue with docs/events.md.
package event
