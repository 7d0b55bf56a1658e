package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/route"
)

func testTable(t *testing.T) *route.Table {
	is := is.New(t)
	split := []route.WeightedPool{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}
	routes, err := route.NewTable(7, []route.Route{
		{Name: "short", Host: "h.example", Prefix: "/x/", Split: split},
		{Name: "long", Host: "h.example", Prefix: "/x/y/", Split: split},
	}, []route.Pool{{Name: "a"}, {Name: "b"}}, []route.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}}, route.Limits{})
	is.NoErr(err)
	return routes
}

// TestLookup guards against requests that are matched to the wrong route.
func TestLookup(t *testing.T) {
	for _, test := range []struct{ host, path, want string }{
		{"h.example", "/x/1", "short"},
		{"H.Example:80", "/x/y/1", "long"},
		{"h.example", "/x", ""},
		{"other.example", "/x/1", ""},
		{"h.example", "/x/y", "short"},
		{"h.example", "/x/../y/", "short"},
	} {
		is := is.New(t)
		r, ok := testTable(t).Lookup(test.host, test.path)
		is.Equal(ok, test.want != "")
		is.Equal(r.Name, test.want)
	}
}

// TestChoosePool guards against a traffic split that differs from the published weights.
func TestChoosePool(t *testing.T) {
	is := is.New(t)
	r, _ := testTable(t).Lookup("h.example", "/x/1")
	is.Equal(r.ChoosePool(0), "a")
	is.Equal(r.ChoosePool(0.899), "a")
	is.Equal(r.ChoosePool(0.901), "b")
	is.Equal(r.ChoosePool(0.9999999), "b")
}

// TestWorkspace guards against unknown keys that are accepted.
func TestWorkspace(t *testing.T) {
	is := is.New(t)
	w, ok := testTable(t).Workspace("k2")
	is.True(ok)
	is.Equal(w.Name, "w")
	_, ok = testTable(t).Workspace("")
	is.True(!ok)
}

// TestInvalidRoutes guards against accepting a configuration with routes that name unpublished
// pools, have no positive weight or have invalid stages.
func TestInvalidRoutes(t *testing.T) {
	for _, r := range []route.Route{
		{Name: "no pool", Split: []route.WeightedPool{{Pool: "none", Weight: 1}}},
		{Name: "no weight", Split: []route.WeightedPool{{Pool: "a"}}},
		{Name: "stage", Split: []route.WeightedPool{{Pool: "a", Weight: 1}}, Stages: []route.Stage{{Pool: "a"}}},
		{Name: "order", Split: []route.WeightedPool{{Pool: "a", Weight: 1}}, Stages: []route.Stage{{Pool: "s", DependsOn: []int{0}}}},
	} {
		is := is.New(t)
		_, err := route.NewTable(1, []route.Route{r}, []route.Pool{{Name: "a"}, {Name: "s", Batch: &route.Batch{}}}, nil, route.Limits{})
		is.True(err != nil) // the configuration is invalid
	}
}

// TestHeight guards against wrong heights of stages. Stages of a long branch have to begin first,
// or the results of a short branch wait for them.
func TestHeight(t *testing.T) {
	is := is.New(t)
	r := route.Route{Stages: []route.Stage{{}, {}, {DependsOn: []int{1}}, {DependsOn: []int{2}}}}
	is.Equal([]int{r.Height(0), r.Height(1), r.Height(2), r.Height(3)}, []int{1, 3, 2, 1})
	is.Equal(r.FinalStages(), []int{0, 3})
}

// TestCallerTimeout guards against requests that are held for callers that have given up.
func TestCallerTimeout(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		r    route.Route
		want time.Duration
	}{
		{route.Route{Kind: route.Stream, Objective: time.Second, MaxEventGap: 400 * time.Millisecond, Timeout: 15 * time.Second}, 4 * time.Second},
		{route.Route{Kind: route.Stream, Objective: 300 * time.Millisecond, MaxEventGap: 400 * time.Millisecond}, 3200 * time.Millisecond},
		{route.Route{Kind: route.Stream}, 2 * time.Second},
		{route.Route{Kind: route.Command, Timeout: time.Second}, time.Second},
	} {
		is.Equal(test.r.CallerTimeout(), test.want)
	}
}
