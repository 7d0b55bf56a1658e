// Package trace reads, writes and generates traces for the replay. A trace states the
// configuration, the performance of the targets, the requests, faults, and objectives.
//
// A trace is a text file. Each line starts with a keyword, followed by the fields of that
// kind of line in a fixed order, separated by spaces. Empty lines and lines that start with
// # are skipped. LineKinds lists the kinds of lines with their fields, ranges and units.
package trace
