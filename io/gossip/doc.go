// Package gossip connects core/member to other hosts: protobuf packets over gRPC, and
// configuration documents pulled by version.
//
// A Node belongs to the goroutine that owns its member.State. Calls to other hosts run
// in goroutines of their own and post their results back to the owner, as do the calls
// of other hosts. Readers on other goroutines use the snapshot that the owner publishes.
package gossip
