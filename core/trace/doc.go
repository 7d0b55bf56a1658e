// Package trace holds recorded traces: the configuration that they ran under, the rates of
// the targets, one line for each request, faults, and stated outcomes.
//
// A trace is text. Each line starts with a word that says what the line is, followed by
// the fields of that kind in order, separated by spaces. Empty lines and lines that start
// with # are skipped. Kinds lists every kind with its fields, ranges and units.
package trace
