package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/platform/standin"
)

// homeRoutes are a route of each kind whose home region is north.
var homeRoutes = []string{
	`{"name":"home","host":"h.example","prefix":"/home/","kind":"idempotent","timeoutMs":2000,"sloMs":300,"service":"plain","maxAttempts":2` + standin.Homes("north") + `}`,
	`{"name":"homewrite","host":"h.example","prefix":"/homewrite/","kind":"non_idempotent","timeoutMs":2000,"sloMs":300,"service":"plain","maxAttempts":2` + standin.Homes("north") + `}`,
	`{"name":"hometalk","host":"h.example","prefix":"/hometalk/","kind":"streaming","timeoutMs":3000,"sloMs":900,"service":"model","maxAttempts":2,"resumable":true,"gapAimMs":400,
	  "stages":[{"service":"pieces","after":[],"bytes":10},{"service":"pieces","after":[0],"bytes":10}]` + standin.Homes("north", "east") + `}`,
}

// startRegional runs a host in a zone, which knows that zone a is in the region north and zone b in south.
func startRegional(t *testing.T, s *standin.Store, name, zone string, seeds ...string) (host *testHost, log *lineRecorder) {
	host, log = prepareHost(t, s, name, seeds...), &lineRecorder{}
	region := map[string]string{"a": "north", "b": "south"}[zone]
	host.settings = strings.Replace(host.settings, "[edge]\n", "[edge]\nregion = "+region+"\nzones = a:north,b:south\n", 1)
	host.settings = strings.Replace(host.settings, "zone = a\n", "zone = "+zone+"\n", 1)
	host.run(context.Background(), log.logger())
	host.waitReady()
	return host, log
}

// callHome sends a request of each route with home regions, and returns the statuses.
func (host *testHost) callHome(id string) (statuses []int) {
	for _, path := range []string{"/home/", "/homewrite/", "/hometalk/"} {
		status, _, _ := host.call(http.MethodPost, path, id+strings.ReplaceAll(path, "/", "-"), standin.SetPieces)
		statuses = append(statuses, status)
	}
	return statuses
}

// TestHomeRegions guards against a request, stage call or retry outside the home regions, also from a host in another
// region and if the stages are dispatched by another host, and against a refusal that is late or does not say why.
func TestHomeRegions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, release := newStore(t), make(chan struct{})
	s.PublishConfig(1, homeRoutes...)
	zoneA, zoneB := newZone(t, s, "a", release), newZone(t, s, "b", release)
	north, _ := startRegional(t, s, "e1", "a")
	south, southLog := startRegional(t, s, "e2", "b", north.peer)
	for _, h := range []*testHost{north, south} {
		n := 0
		served := []int{http.StatusOK, http.StatusOK, http.StatusOK}
		h.wait(func() bool { n++; return slices.Equal(h.callHome(fmt.Sprintf("warm-%d", n)), served) })
		for i := range 20 {
			h.callHome(fmt.Sprintf("home-%d", i))
		}
	}
	is.Equal(zoneB.received(), 0)
	south.wait(func() bool { south.callAll("free"); return zoneB.received() > 0 }) // other routes use all zones
	for _, e := range []string{"plain", "model", "pieces"} {
		s.Put("servers/i-a-"+e, "")
	}
	before := 0
	south.wait(func() bool { // the removal is known
		before = zoneA.received()
		return south.callAll("gone") && zoneA.received() == before
	})
	before = zoneB.received()
	is.Equal(south.callHome("refused"), []int{http.StatusServiceUnavailable, http.StatusServiceUnavailable, http.StatusServiceUnavailable})
	is.True(southLog.has(`"request":"refused-home-"`, "no target in the home regions"))
	is.True(southLog.has(`"request":"refused-hometalk-"`, "no target in the home regions"))
	is.Equal(zoneB.received(), before)
}

// TestHomeOfWorkspace guards against a workspace whose home regions are not applied beside those of the route.
func TestHomeOfWorkspace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, release := newStore(t), make(chan struct{})
	s.Put("op/config", `{"version":1,"services":[{"name":"plain","maxConnections":9}],"tenants":[{"name":"thun","apiKeys":["key"]`+standin.Homes("south")+`}],
		"routes":[{"name":"read","host":"h.example","prefix":"/read/","kind":"idempotent","timeoutMs":2000,"sloMs":300,"service":"plain","maxAttempts":2},
		{"name":"home","host":"h.example","prefix":"/home/","kind":"idempotent","timeoutMs":2000,"sloMs":300,"service":"plain","maxAttempts":2`+standin.Homes("north")+`}]}`)
	zoneA := newZone(t, s, "a", release)
	newZone(t, s, "b", release)
	host, _ := startRegional(t, s, "e1", "a")
	host.waitServed("/read/")
	for i := range 20 {
		host.call(http.MethodGet, "/read/", fmt.Sprintf("r%d", i), nil)
	}
	status, _, _ := host.call(http.MethodGet, "/home/", "both", nil)
	is.Equal(status, http.StatusServiceUnavailable) // no zone is in both
	is.Equal(zoneA.received(), 0)
}

// TestDirectoryOfHomes guards against callers that are sent to hosts in a region that is neither a home region nor
// their own, and against a directory that names none where there is no such host.
func TestDirectoryOfHomes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1, homeRoutes...)
	north, _ := startRegional(t, s, "e1", "a")
	south, _ := startRegional(t, s, "e2", "b", north.peer)
	resolve := func(query string) (addresses []string) {
		r, err := http.Get("http://" + south.directory + "/resolve?" + query)
		is.NoErr(err)
		defer func() { _ = r.Body.Close() }()
		var answer struct{ Addresses []string }
		_ = json.NewDecoder(r.Body).Decode(&answer) // there is none while no host serves
		slices.Sort(answer.Addresses)
		return answer.Addresses
	}
	both := []string{north.address, south.address}
	slices.Sort(both)
	south.wait(func() bool { return slices.Equal(resolve("name=other.example&region=east"), both) })
	is.Equal(resolve("name=h.example&region=east&zone=c"), []string{north.address})
	is.Equal(resolve("name=h.example&region=south&zone=b"), both)
	is.Equal(resolve("name=h.example&zone=b"), both) // the region of the zone
	is.Equal(resolve("name=h.example"), []string{north.address})
	is.Equal(resolve(""), both)
	s.PublishConfig(2, strings.ReplaceAll(homeRoutes[0], "north", "west"))
	south.wait(func() bool { return slices.Equal(resolve("name=h.example&region=east"), both) }) // none is near
}
