// Package message holds the gRPC service and messages between an entry host and the host that
// dispatches a pool.
package message
