// Package sortedmap provides a map that iterates in key order.
//
// The control loops iterate over whole maps on each tick. A fixed order makes them take the
// same decisions for equal maps, which the replay of recorded requests depends on.
package sortedmap
