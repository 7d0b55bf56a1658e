// Package loopback chooses unused loopback addresses for tests.
package loopback
