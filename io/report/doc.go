// Package report writes the results of replays as text, as a plot and as a comparison of
// policies, and checks them against the objectives of the trace.
package report
