// Package roster keeps which targets are published, from a store that may be away.
//
// A target whose entry lapsed while the store was away is used for a short time after the
// store is back, because a live target writes its entry again. Any other removal holds at
// once.
package roster
