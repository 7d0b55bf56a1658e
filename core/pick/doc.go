// Package pick chooses the target of a request from what one host knows itself: its own
// requests in flight, and how its last requests at each target ended.
//
// Requests that share a prefix go to the same target as long as that one is no busier than
// the others by more than a bounded factor, so that its cache is used.
package pick
