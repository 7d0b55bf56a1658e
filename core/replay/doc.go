// Package replay simulates a trace in virtual time. It runs entry hosts with one
// core/schedule scheduler per pool, as in the daemon, against simple models of the targets.
//
// The simulation is single-threaded and reads no clock. Events are kept in a heap and run
// in order of time, then insertion, and all randomness comes from the seed. The same trace,
// seed and options therefore give the same result.
//
// flow.go repeats the logic of io/runner (order of stages, retries, deadlines, outcomes),
// because the runner is written for goroutines. Gossip, command keys and connections are
// not modelled.
package replay
