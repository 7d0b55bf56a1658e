// Package gossip connects the state machine of core/member to other hosts. It exchanges packets
// as protobuf messages over gRPC and pulls configuration documents from other hosts by their hash.
//
// A Node and its member.State belong to one goroutine, the event loop. Calls to other hosts run
// in separate goroutines and post their results to the loop; calls received from other hosts
// are posted to it as well. Readers on other goroutines use the snapshot that the loop publishes.
package gossip
