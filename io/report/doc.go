// Package report writes the result of a replay as text and as a plot.
package report
