// Package balance implements load balancing over the targets of a pool.
//
// PickLeastLoaded takes the best of a few random candidates. If all hosts picked the minimum
// by the same, delayed load reports, they would all send to the same target (herding).
// Subset gives each host a stable subset of a large pool, so that its own measurements of
// each target stay recent. SlowDetector is outlier detection: it marks slow targets by the
// host's own latencies and probes them until they have recovered. PrefixIndex tracks which
// targets have a prompt prefix cached, from the host's own calls and from cache events, which
// may be late or lost.
package balance
