// Package sse reads and writes server-sent events, the framing of streamed answers from
// targets to hosts and from hosts to callers.
//
// An event is returned only after its closing blank line has arrived, so that a stream that
// breaks inside an event is never taken for a complete one.
package sse
