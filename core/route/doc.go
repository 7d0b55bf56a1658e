// Package route holds the published routes: the pool, stages and limits for each request, and
// the workspace that a caller's key belongs to.
//
// A Table is one published configuration. It is immutable; a newer configuration replaces the
// whole table.
package route
