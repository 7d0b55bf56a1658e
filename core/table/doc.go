// Package table holds entities by key in a stable order.
//
// Systems run over whole tables each tick. Iteration follows the key order, so that two
// runs over equal tables decide the same, which the replay of a decision depends on.
package table
