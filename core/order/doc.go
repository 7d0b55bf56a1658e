// Package order decides which engines receive model orders from this host, and when.
//
// The desired state of each engine follows from the published configuration; the number of the
// configuration version is the fencing token. The hosts that rank first for an engine by
// rendezvous hashing are its controllers. Each pair of an engine and a controller has its own
// recurring time slot, in which at most one order is sent. All hosts derive the same slots from
// the version, so that the model loads of all hosts together stay under the rate limit of the
// weight store without any coordination.
//
// Slots are counted from the time at which a host accepted the version. If hosts accept it at
// most s apart, at most rate*(w+s)+1 loads begin in any time window w. Over long windows the
// rate limit holds whatever s is.
package order
