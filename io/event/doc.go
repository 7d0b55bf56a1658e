// Package event is the catalogue of numbered log events.
//
// Each log line of the daemon carries the number of its event, so that operators can
// look it up in docs/events.md and alarm on it. Log is the only way by which the daemon
// writes log lines; a test compares the catalogue with docs/events.md.
package event
