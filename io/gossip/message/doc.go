// Package message holds the generated protobuf and gRPC code of the gossip protocol; see
// gossip.proto.
package message

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative gossip.proto
