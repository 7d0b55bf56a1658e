// Package demo runs the whole system in one process: stand-ins for the platform and the
// targets, two entry hosts and a caller. It needs no settings and ends by itself.
package demo
