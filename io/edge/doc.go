// Package edge assembles the process of an edge host, which serves callers on a platform
// that publishes routes and targets in a metadata store.
//
// One control goroutine owns the membership, the configuration and the targets, and
// publishes an immutable state on each change. Traffic goroutines read the state: they route
// a request, have its stages worked on by the host that dispatches their pool, and forward
// it to a target, byte for byte.
package edge
