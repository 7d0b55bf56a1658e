// Package route holds the published routes: which request goes to which pool, in which
// stages, under which limits, and which workspace a caller's key belongs to.
//
// A Table is one published configuration. It is immutable once it is made; a newer one
// replaces it whole.
package route
