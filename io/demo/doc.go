// Package demo runs the whole path in one process on embedded stand-ins: platform,
// targets, one host and a caller. It needs no settings and ends by itself.
package demo
