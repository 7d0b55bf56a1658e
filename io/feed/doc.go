// Package feed lets hosts follow each other's copy of the published entries over gRPC.
//
// The Hub holds the copy. Readers of the store add what they read; a Follower adds what other hosts
// send. Each host serves its copy to the hosts that follow it.
package feed
