// Package command issues idempotency keys for commands and keeps the owner's records of them. A
// command is a request that may not be repeated.
//
// A key names the host incarnation that issued it. Only that incarnation may send the command to
// a target, and its authority ends with it, so two hosts can never both believe that they own a
// key. Issuing a key uses no memory; a record is created when a command begins and is kept until
// its key expires. A valid key without a record at its owner has therefore never run.
//
// After a graceful stop, a successor answers from the finished records of the former owner. It
// never runs a command of that owner.
//
// The package has no side effects: times are passed in as time since process start, and the
// caller provides the identity and the secret of the incarnation. A Table is not safe for
// concurrent use.
package command
