// Package poolsched makes the scheduler of a pool safe for concurrent use.
//
// A Scheduler guards one schedule.Scheduler with a mutex, which is held only while a decision is
// made, and wakes the goroutine whose call starts or is refused.
package poolsched
