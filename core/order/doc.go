// Package order decides which engines get model orders from this host, and when.
//
// The desired state of each engine follows from the published configuration, and the
// number of its version is the fencing token. The hosts that rank first for an engine by
// rendezvous hashing are its controllers. Each pair of engine and controller has its own time slot,
// which returns periodically and in which at most one order is given. All hosts derive the
// same slots from the version, so that the loads of all hosts together stay under the rate
// of the weight store without any message between them.
//
// Slots count from the time at which a host accepted the version. If hosts accept it at
// most s apart, at most rate*(w+s)+1 loads begin in any time w; over long times the rate
// holds whatever s is.
package order
