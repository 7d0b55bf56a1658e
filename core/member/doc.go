// Package member is membership between hosts and the spread of facts.
//
// A State is a pure state machine: time, randomness and incoming packets are passed in,
// and it returns the packets to send. Its owner calls Tick several times per period,
// carries out the returned sends, and reports each as Answered or Failed; Serve answers
// the packets of other hosts.
//
// Membership uses SWIM over a stable random regular graph: each host exchanges packets
// with one neighbour per period and with one random host every ten periods. A host that
// does not answer is probed through other neighbours, then suspected, then declared dead.
// It refutes with a higher counter under its incarnation.
//
// Facts are rows of tables. Each kind of fact has a merge that is commutative,
// associative and idempotent, so that hosts agree whatever the order of arrival. A new
// fact is passed on to all neighbours at once, then rides on the next regular exchanges.
// Packets carry a digest of the tables; a rate-limited repair sends the parts that differ.
package member
