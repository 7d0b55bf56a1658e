// Package pick balances requests over the targets of a pool. Where one host sends enough requests to know the
// targets, it uses only what the host observes itself: its requests in flight and the results of its
// recent requests per target.
//
// Requests with a common prompt prefix go to the same target to use its prefix cache, unless
// that target is busier than the others by more than the cost of reading the prefix again.
//
// In large deployments, where a host has less than one sample per target in some seconds, targets are
// chosen by the estimates of all hosts (core/capacity): see shared.go.
package pick
