// Package discovery keeps the set of published targets as read from the discovery store.
//
// The store may become unreachable. A target whose entry lapsed during such an outage stays in
// use for a short grace period after the store is back, because a live target publishes its
// entry again. All other removals take effect immediately.
package discovery
