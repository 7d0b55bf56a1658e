// Package command holds the keys of commands and the owner's records of them. A command
// is a request that may not be repeated.
//
// A key names the host incarnation that issued it. Only that incarnation may send the
// command to a target, and its authority ends with it, so no two hosts can both believe
// that they own a key. Issuing a key costs no memory; a record is created when a command
// begins and lives until its key expires. A key within its lifetime that has no record at
// its owner has therefore never run.
//
// After a planned stop, a successor answers from the finished records of the old owner.
// It never runs a command of that owner.
//
// The package is pure: times are passed in as time since process start, the identity and
// the secret of the incarnation are given by the caller. A Table is not safe for
// concurrent use.
package command
