// Package runner runs one request from its first to its last stage.
//
// Stage results live in the memory of the goroutine that runs the request and are never
// shared. Idempotent stages are repeated within the deadline; a stage that may not be
// repeated is called once, and from its first written byte on the request is done,
// failed by the target, or unknown.
package runner
