// Package replay runs a trace in virtual time: entry hosts with one core/schedule scheduler
// per pool, as in the daemon, against small stand-ins of the targets.
//
// There is no clock and no goroutine. Events are kept in a heap and run in the order of
// time, then of insertion; all randomness comes from the seed. The same trace, seed and
// options give the same result.
//
// The logic of io/runner (stages in order, repeats, deadlines, outcomes) is mirrored in
// flow.go, because the runner is written for goroutines. Gossip, command keys and
// connections are not modelled.
package replay
