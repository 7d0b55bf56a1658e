// Package schedule decides, for one pool on one host, which call runs on which target
// and when.
//
// A Scheduler is a pure state machine: time is passed in and randomness comes from the
// source given to New. The daemon drives it under a mutex; the replay drives the same
// code in virtual time, so each decision can be replayed from a seed.
package schedule
