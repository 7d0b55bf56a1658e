package feed

import (
	"slices"

	"sassafrasward/core/member"
)

const (
	// readersPerZone is the minimum number of readers in each availability zone, and minReaders
	// that in the whole fleet. With fewer, the loss of a few hosts or of one zone could leave the
	// fleet without a reader.
	readersPerZone = 2
	minReaders     = 8
)

// Host is a host of the fleet.
type Host struct {
	Name, Zone string
	// Address is the address for other hosts.
	Address string
}

// Readers returns the hosts that read the store: the first ones of each availability zone by
// rendezvous hashing. Hosts that know the same members agree on them.
func Readers(hosts []Host) (readers []Host) {
	byZone := make(map[string][]string)
	byName := make(map[string]Host, len(hosts))
	for _, h := range hosts {
		byZone[h.Zone] = append(byZone[h.Zone], h.Name)
		byName[h.Name] = h
	}
	zones := make([]string, 0, len(byZone))
	for zone := range byZone {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	for _, zone := range zones {
		for _, name := range member.First("reader", max(readersPerZone, (minReaders+len(zones)-1)/len(zones)), byZone[zone]) {
			readers = append(readers, byName[name])
		}
	}
	return readers
}

// Upstreams returns the addresses at which a host can follow the readers, the preferred ones
// first: one in its own zone, one in another zone, then the rest. Different hosts prefer different
// readers. The seeds are last.
func Upstreams(self Host, readers []Host, seeds []string) (addresses []string) {
	byName := make(map[string]Host, len(readers))
	var near, far []string
	for _, h := range readers {
		byName[h.Name] = h
		switch {
		case h.Name == self.Name:
		case h.Zone == self.Zone:
			near = append(near, h.Name)
		default:
			far = append(far, h.Name)
		}
	}
	near, far = member.Rank(self.Name, near), member.Rank(self.Name, far)
	var ranked []string
	if len(near) > 0 && len(far) > 0 {
		ranked = append(ranked, near[0], far[0])
		near, far = near[1:], far[1:]
	}
	for _, name := range append(append(ranked, near...), far...) {
		addresses = append(addresses, byName[name].Address)
	}
	for _, seed := range seeds {
		if seed != self.Address && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}
