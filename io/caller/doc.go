// Package caller is the client library of the system.
//
// A Client asks an entry host for the addresses to use, caches the list for the time to live
// that the host gives, and sends requests to the hosts in the order of the list. It resends a
// request only where that is safe: an idempotent request after any failure, a command only
// with the same key. Once a command may have run, the client never switches to a new key.
package caller
