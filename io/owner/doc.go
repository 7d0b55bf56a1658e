// Package owner runs commands at most once.
//
// A command key is the idempotency key of a command. The host incarnation that issued it is
// its owner. A request with a key that arrives at another host is forwarded to the owner.
// The owner runs the command once; duplicates, that is, resends with the same key, wait for
// the first request or get its stored answer. A command that has begun is not cancelled when
// its caller disconnects, because duplicates may wait for it.
//
// A host that cannot reach the owner answers with the outcome unknown, since only the owner
// knows whether the command ran. Pools that deduplicate requests by key are the exception:
// for them, the host sends the command itself with the same key.
package owner
