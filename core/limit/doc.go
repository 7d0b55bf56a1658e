// Package limit learns how many calls a host may have in flight, on one target and on a
// pool, from what the targets say with each answer. No host needs to know of another.
//
// Limit is for one target. It shrinks in proportion to the part of the target's calls that
// wait beyond a small allowance, and grows by a constant step while nothing waits and the
// host uses all of it. A host that is cut off from other hosts still sees the target's
// queue; the limit never exceeds the slots of the target plus the allowance.
//
// Part is for a pool: the part that the host has of the calls that targets report, times
// the slots. The parts of all hosts add up to one, so that together they come to the slots
// within a round of answers, however many they are and whichever of them see each other.
package limit
