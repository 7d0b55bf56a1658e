// Package limit learns how many calls a host may have in flight on one target.
//
// Each answer says how many calls the target runs and queues. The limit shrinks in
// proportion to the part of the target's calls that wait beyond a small allowance, and
// grows by a constant step while nothing waits and the host uses all of its limit. All
// hosts do the same on what the target itself says, so their parts of a target become
// equal without agreement. A host that is cut off from other hosts still sees the target's
// queue; the limit never exceeds the slots of the target plus the allowance.
package limit
