// Package reason is the registry of refusal reasons and retry reasons.
//
// Each refusal that a caller can see has an entry with its word on the wire, its outcome, its
// HTTP status and its documentation; each retry reason has its word in metrics and its
// documentation. The daemon keeps one counter per reason, and docs/OPERATIONS.md lists them;
// a test compares the two.
package reason
