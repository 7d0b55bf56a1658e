// Package callermem divides the memory that callers can make a host hold among their connections.
//
// It accounts for the connections themselves, the heads of requests and their bodies as they are read, and
// decides what is granted, what waits, what is refused, and which connections are closed to make room. The
// slowest senders yield first; a request that has been read whole keeps its memory until it ends.
package callermem
