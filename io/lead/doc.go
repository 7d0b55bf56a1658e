// Package lead runs the pieces of stages, dispatched by one host per pool.
//
// Every host can dispatch every pool. Which one does follows from the live members by
// rendezvous hashing, so the hosts agree without messages. A host that gets no sign of life
// from the dispatching one goes on to the next in rank, and last to itself. Pieces may be
// worked on twice; a change of the dispatching host costs time, not correctness.
package lead
