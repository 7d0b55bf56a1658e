// Package gate lets traffic goroutines wait for the decisions of a scheduler.
//
// A Gate guards one schedule.Scheduler with a mutex that is held only for the decision
// itself, and wakes the goroutine whose call starts or is refused.
package gate
