// Package daemon assembles the process that runs on an entry host.
//
// One control goroutine owns the control state: the configuration, the host list and the
// targets. It takes events from the watchers, runs the systems each tick and publishes
// immutable views. Traffic goroutines read the views and never wait for it.
package daemon
