// Package wire holds the typed messages of the published HTTP protocols: callers,
// targets and the platform. Times are in milliseconds. docs/OPERATIONS.md describes
// each endpoint with its shapes, units and errors.
package wire
