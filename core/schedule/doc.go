// Package schedule decides, for one pool on one host, which call runs on which target
// and when.
//
// A Scheduler is a deterministic state machine: the caller passes in the time, and
// randomness comes from the source given to New. The daemon drives it under a mutex; the
// replay drives the same code in virtual time, so each decision can be reproduced from a
// seed.
//
// Admission control refuses a call at once if its queueing delay plus its service time is
// predicted to exceed its deadline:
//
//	wait = (work ahead of it in the fair queue + its own work) / slots
//
// where work is the sum of mean service times, and slots are this host's slots of the pool
// that long work does not occupy. A queued call that can no longer meet its deadline is
// dropped before it reaches a target.
//
// Long work may occupy at most L percent of this host's slots S, as set by the policy. The
// limit shrinks while short work needs the slots, but never below the guarantee
//
//	m = max(1, S * L/100 / 2)
//
// While fewer than m long calls are in flight, long work is dispatched before short work. A
// long call with the work W of long calls ahead of it in the fair queue therefore starts
// after at most
//
//	W/m + the longest service time of a long call + that of a short call
//
// as long as the pool has a target that is not avoided as slow. docs/policies.md gives the
// measurements behind the constants.
package schedule
