// Package loopback chooses addresses on this machine for tests.
package loopback
