// Package diagnostic provides an error that holds all validation errors of an input.
//
// With a parser that stops at the first error, users have to run it once for each error. The
// parsers of configuration documents, settings and traces collect typed diagnostics in a
// List instead.
package diagnostic
