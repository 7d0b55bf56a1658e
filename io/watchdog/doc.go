// Package watchdog ends operations that make no progress.
//
// Unlike a timeout it does not count the time in which this process itself did not run: it expires only after
// two checks in a row without progress, so that what has arrived before a late check is read first.
package watchdog
