// Package peer carries gRPC between hosts: one server, and a bounded pool of client
// connections by address.
package peer
