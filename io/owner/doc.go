// Package owner runs commands at most once.
//
// The host incarnation that issued a key is its owner. A request that carries a key is
// run by its owner or, if it arrives at another host, forwarded to its owner. The owner
// runs it once; duplicates wait for the first request or get its kept answer. A command
// that began goes on if its caller closes the connection, because duplicates wait for it.
//
// A host that cannot reach the owner answers unknown, since only the owner knows whether
// the command ran. The exception are pools that recognise repeated keys: there, this host
// sends the command itself with the same key.
package owner
