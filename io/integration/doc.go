// Package integration tests the system as separate processes. It has no code outside of tests.
package integration
