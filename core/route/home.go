package route

import (
	"maps"
	"slices"
)

// AllowedZones returns the sorted availability zones that a request may use: those whose region is in each of the
// sets of home regions. An empty set does not restrict; without any other set, the result is nil. The regions are
// by zone; a zone that they lack is never allowed.
func AllowedZones(regions map[string]string, homes ...[]string) (zones []string) {
	homes = slices.DeleteFunc(homes, func(set []string) bool { return len(set) == 0 })
	if len(homes) == 0 {
		return nil
	}
	zones = []string{}
	for _, zone := range slices.Sorted(maps.Keys(regions)) {
		if !slices.ContainsFunc(homes, func(set []string) bool { return !slices.Contains(set, regions[zone]) }) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// ZoneAllowed reports whether a zone is one of those that AllowedZones returned.
func ZoneAllowed(zones []string, zone string) bool {
	return zones == nil || slices.Contains(zones, zone)
}

// HostHomes returns the regions that are home regions of all routes of a host name which have any. It reports false
// if no route of the name has home regions.
func (t *Table) HostHomes(host string) (homes []string, ok bool) {
	for _, i := range t.byHost[normalizeHost(host)] {
		set := t.routes[i].Homes
		switch {
		case len(set) == 0:
		case !ok:
			homes, ok = slices.Clone(set), true
		default:
			homes = slices.DeleteFunc(homes, func(region string) bool { return !slices.Contains(set, region) })
		}
	}
	return homes, ok
}
