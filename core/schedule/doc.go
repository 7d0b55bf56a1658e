// Package schedule decides, for one pool on one host, which call runs on which target
// and when.
//
// A Scheduler is a pure state machine: time is passed in and randomness comes from the
// source given to New. The daemon drives it under a mutex; the replay drives the same
// code in virtual time, so each decision can be replayed from a seed.
//
// A call is refused at once if its wait and its service are not expected to end in time:
//
//	wait = (work in front of it by share + its own work) / slots
//
// where work is the sum of mean service times, and slots are those that this host has of
// the pool and that long work does not hold. A queued call that can no longer make it is
// dropped before it costs a target anything.
//
// Long work holds at most the percentage L of this host's slots S that the policy gives,
// and less while short work needs them, but never less than the guarantee
//
//	m = max(1, S * L/100 / 2)
//
// Below m, long work goes before short work. A long call with the work W of long calls in
// front of it by share therefore starts after at most
//
//	W/m + the longest service time of a long call + that of a short call
//
// as long as the pool has a target that is not avoided. docs/policies.md gives the
// measurements behind the constants.
package schedule
