// Package limit implements adaptive concurrency limits: how many calls a host may have in
// flight on one target and on a pool. The limits follow the load that targets report with
// each answer; hosts need not know of each other.
//
// Limit is for one target. It shrinks in proportion to the fraction of the target's calls
// that are queued beyond a small allowance, and grows additively while no calls are queued
// and the host uses the limit. A host that is partitioned from other hosts still sees the
// target's queue; the limit never exceeds the slots of the target plus the allowance.
//
// PoolLimit is for a pool: the slots times the fraction of the reported calls that are this
// host's own. The fractions of all hosts add up to one, so that together they converge to
// the slots within one round of answers, however many hosts there are and whichever of them
// see each other.
package limit
