// Package live runs a trace against daemons and stand-in targets over loopback and gives
// the same result as core/replay.
//
// Everything runs in this process, but all messages pass over TCP. Times can be scaled;
// the result is in the time of the trace. Delays between zones and the lag of load reports
// are not imitated, and the use of slots is not measured.
package live
