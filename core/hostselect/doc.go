// Package hostselect selects the entry hosts that a caller is told to use.
package hostselect
