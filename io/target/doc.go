// Package target is the HTTP client for targets.
//
// The request, stage and attempt in each answer are compared with those of the call, so that a
// late or misdirected answer is never used for another call. Once the write of a command has
// started, the command is reported as not run only if the target's answer guarantees it under
// the published protocol.
package target
