// Package caller is the client library of the system.
//
// A Client asks an entry host for the addresses to use, caches the address answer for the
// lifetime that it states, and sends requests to the hosts in the order of the answer. It
// resends a request only where that is safe: an idempotent request if no answer arrived or the
// state of the host made it refuse, a command only with the same key. Once a command may have
// run, the client never switches to a new key.
package caller
