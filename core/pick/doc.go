// Package pick balances requests over the targets of a pool. It uses only what one host
// observes itself: its requests in flight and the results of its recent requests per target.
//
// Requests with a common prompt prefix go to the same target to use its prefix cache, unless
// that target is busier than the others by more than the cost of reading the prefix again.
package pick
