// Package forward has the messages by which a command reaches its owner and by which a
// stopping owner hands its finished records over.
package forward

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative forward.proto
