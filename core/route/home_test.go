package route_test

import (
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/route"
)

// TestAllowedZones guards against requests outside their home regions, in a zone whose region is not known, and against
// a restriction where there are no home regions.
func TestAllowedZones(t *testing.T) {
	regions := map[string]string{"z1": "north", "z2": "north", "z3": "south", "z4": "east"}
	for name, test := range map[string]struct {
		homes [][]string
		zones []string
	}{
		"no homes":       {[][]string{nil, {}}, nil},
		"of the route":   {[][]string{{"north"}, nil}, []string{"z1", "z2"}},
		"of both":        {[][]string{{"north", "south"}, {"south", "east"}}, []string{"z3"}},
		"nothing common": {[][]string{{"north"}, {"south"}}, []string{}},
		"unknown region": {[][]string{{"west"}}, []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			zones := route.AllowedZones(regions, test.homes...)
			is.Equal(zones, test.zones)
			is.Equal(zones == nil, test.zones == nil)
			is.Equal(route.ZoneAllowed(zones, "z5"), zones == nil)
		})
	}
	is := is.New(t)
	is.Equal(route.AllowedZones(nil, []string{"north"}), []string{}) // without the table of zones
}

// TestHostHomes guards against a directory that names hosts outside the home regions of one of the routes of a name.
func TestHostHomes(t *testing.T) {
	is := is.New(t)
	split := []route.WeightedPool{{Pool: "p", Weight: 1}}
	newRoute := func(name, host string, homes ...string) route.Route {
		return route.Route{Name: name, Host: host, Prefix: "/" + name + "/", Split: split, MaxAttempts: 1, Homes: homes}
	}
	table, err := route.NewTable(1, []route.Route{
		newRoute("a", "h.example", "north", "south"), newRoute("b", "h.example"), newRoute("c", "h.example", "south", "east"), newRoute("d", "free.example"),
	}, []route.Pool{{Name: "p"}}, nil, route.Limits{})
	is.NoErr(err)
	homes, ok := table.HostHomes("H.example:80")
	is.True(ok)
	is.Equal(homes, []string{"south"})
	_, ok = table.HostHomes("free.example")
	is.True(!ok)
}
