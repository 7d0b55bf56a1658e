// Package dispatch runs the jobs of pipeline stages on the targets of a pool, through the one
// host that dispatches the pool.
//
// Every host can dispatch every pool. The dispatching host is chosen from the live hosts by
// rendezvous hashing, so hosts agree on it without messages. If it sends no heartbeat in time,
// the entry host of the request goes on to the next host in the ranking, and finally
// dispatches the job itself. A piece may then run twice, so a change of the dispatching host
// costs time but not correctness.
package dispatch
