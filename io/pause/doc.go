// Package pause detects that this process was stopped for a while, as by SIGSTOP or a suspended machine.
package pause
