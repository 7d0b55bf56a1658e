// Package view provides immutable snapshots of the control state for request handling.
//
// The control goroutine builds a View and publishes it through a Holder. The goroutines that
// handle requests load it without locks.
package view
