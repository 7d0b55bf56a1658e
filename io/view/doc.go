// Package view is the immutable snapshot of control state that traffic reads.
//
// The control goroutine builds a View and publishes it through a Holder; traffic
// goroutines load it without waiting.
package view
