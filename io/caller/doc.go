// Package caller is the client library of the system.
//
// A Client asks an entry host which addresses to use, keeps the answer for its lifetime
// and sends requests to the hosts in that order. It resends a request only while that is
// safe: an idempotent request on any failure, a command only with the same
// key. After an answer that leaves open whether a command ran, it never takes a new key.
package caller
