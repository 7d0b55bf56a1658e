// Package integration holds the tests that run the system as real processes. It has no
// code of its own.
package integration
