// Package daemon assembles the process that runs on an entry host.
//
// One control goroutine owns the control state: the configuration, the host list and the
// targets. It applies changes from the platform and from other hosts, runs periodic work on
// each tick and publishes immutable views. Request goroutines read the views and never wait
// for the control goroutine.
package daemon
