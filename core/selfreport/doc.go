// Package selfreport keeps what targets state about themselves in their answers: that they leave, how
// many requests a second they take from all hosts together, and for how long they want none from
// this host. It is asked before each request that is sent to a target.
//
// A statement ends with the incarnation of its target, so that a new process at the same address or
// with the same ID is not bound by it.
package selfreport
