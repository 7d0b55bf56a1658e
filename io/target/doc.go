// Package target calls targets over HTTP.
//
// Every answer is checked against the request, stage and attempt that it belongs to, so
// that an answer that arrives late or crossed is never taken for another call's. Once
// the write of a command began, its end is never reported as not started unless the
// target's published contract says so.
package target
