// Package balance chooses one of several targets.
//
// Choose takes the best of a few random candidates, which avoids the herd that a global
// minimum over shared, late reports causes. Subset gives each host a stable part of a
// large pool, so that its own measurements of each target stay recent. Pace finds slow
// targets from own latencies and probes them back in. Cache remembers which targets hold
// a prompt prefix, from own calls and from late cache events with gaps.
package balance
