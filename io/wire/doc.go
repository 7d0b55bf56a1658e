// Package wire defines the JSON messages, paths and headers of the published HTTP protocols:
// between callers and entry hosts, between entry hosts and targets, and to the platform. Times
// are in milliseconds. docs/OPERATIONS.md describes each endpoint with its messages, units and
// errors.
package wire
