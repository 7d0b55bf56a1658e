// Package quota limits the retries of all hosts together without coordination.
//
// In each time window, the hosts may send retries up to a ratio of their requests plus a
// fixed slack. Each host limits itself to the ratio of its own requests plus its part of the
// slack.
package quota
