// Package live replays a trace against daemons and stand-in targets over loopback. Its result has
// the same form as that of core/replay, which simulates them.
//
// Everything runs in this process, but all messages pass over TCP. Times can be scaled; the result
// is in the time of the trace. Delays between zones and the lag of load reports are not emulated,
// and slot usage is not measured.
package live
