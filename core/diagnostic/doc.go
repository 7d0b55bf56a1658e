// Package diagnostic is the error of input with several mistakes.
//
// A parser that stops at the first mistake makes its user repair a file one run at a time.
// The parsers of documents, settings and traces collect typed mistakes in a List instead.
package diagnostic
