// Package reason is the registry of refusal and retry reasons.
//
// Each refusal that a caller can see and each cause for repeating a stage call is one
// entry with its word on the wire, its outcome, its HTTP status and its documentation.
// The daemon keeps one counter per entry, and docs/OPERATIONS.md lists them; a test
// compares the two.
package reason
