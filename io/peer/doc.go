// Package peer provides gRPC between hosts: a server and a bounded pool of client connections,
// one per address.
package peer
