// Package forward holds the generated code of the protocol that forwards commands to their
// owners and hands the records of finished commands of a stopping owner over to a successor.
package forward

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative forward.proto
