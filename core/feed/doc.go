// Package feed keeps a copy of the published entries of a store on each host of a fleet.
//
// A few hosts, the readers, read the store. The others follow them: they receive each change from
// one or two readers, so that the number of calls to the store does not grow with the fleet. A
// host that hears from no reader reads the store itself.
package feed
