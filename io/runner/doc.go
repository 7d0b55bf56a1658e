// Package runner runs the stages of a request in order.
//
// Stage results are kept in the memory of the goroutine that runs the request and are not
// shared. Idempotent stages are retried within the deadline. A stage that may not be repeated
// is called once; as soon as a byte of that call was written, the outcome of the request is
// done, failed (if the target says so) or unknown.
package runner
