// Package quota bounds repeats over a fleet without coordination.
//
// The fleet may add a ratio of its requests plus a fixed slack of repeats in each window.
// Each host keeps to the ratio of its own requests and to its part of the slack.
package quota
