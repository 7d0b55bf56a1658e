// Package member implements membership and gossip between hosts.
//
// A State is a pure state machine: time, randomness and incoming packets are passed in,
// and it returns the calls to make to other hosts. Its owner invokes Tick several times per
// period, makes the returned calls and reports each one as Answered or Failed. Serve answers
// the packets of other hosts.
//
// Membership uses SWIM over a stable random regular graph: each host exchanges packets
// with one neighbour per period and with one random host every ten periods. A host that
// does not answer is probed indirectly through other neighbours, then suspected, then
// declared dead. It refutes a suspicion by raising the counter of its incarnation.
//
// Facts are rows of tables. Each type of fact has a merge that is commutative,
// associative and idempotent, so that all hosts converge whatever the order of arrival. A
// new fact is flooded to all neighbours at once and then piggybacked on the next regular
// exchanges. Packets carry a digest of the tables; a rate-limited anti-entropy repair sends
// the buckets that differ.
package member
