// Package edge implements the process of an edge host: an entry host on a platform that
// publishes its configuration and targets in a metadata store.
//
// One control goroutine owns the membership, the configuration and the targets, and publishes
// an immutable state on each change. Request goroutines read the state: they route a request,
// submit the jobs of its stages to the hosts that dispatch the pools, and forward the request
// unchanged to a target.
package edge
