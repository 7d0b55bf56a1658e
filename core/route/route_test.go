package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/route"
)

func table(t *testing.T) *route.Table {
	is := is.New(t)
	split := []route.WeightedPool{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}
	made, err := route.NewTable(7, []route.Route{
		{Name: "short", Host: "h.example", Prefix: "/x/", Split: split},
		{Name: "long", Host: "h.example", Prefix: "/x/y/", Split: split},
	}, []route.Pool{{Name: "a"}, {Name: "b"}}, []route.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}}, route.Limits{})
	is.NoErr(err)
	return made
}

// TestLookup guards against a request on the wrong route.
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
		r, ok := table(t).Lookup(test.host, test.path)
		is.Equal(ok, test.want != "")
		is.Equal(r.Name, test.want)
	}
}

// TestChoose guards against shares that differ from the published weights.
func TestChoose(t *testing.T) {
	is := is.New(t)
	r, _ := table(t).Lookup("h.example", "/x/1")
	is.Equal(r.ChoosePool(0), "a")
	is.Equal(r.ChoosePool(0.899), "a")
	is.Equal(r.ChoosePool(0.901), "b")
	is.Equal(r.ChoosePool(0.9999999), "b")
}

// TestWorkspace guards against unknown keys that are let in.
func TestWorkspace(t *testing.T) {
	is := is.New(t)
	w, ok := table(t).Workspace("k2")
	is.True(ok)
	is.Equal(w.Name, "w")
	_, ok = table(t).Workspace("")
	is.True(!ok)
}

// TestMistakes guards against a configuration in force that names what is not published.
func TestMistakes(t *testing.T) {
	for _, r := range []route.Route{
		{Name: "no pool", Split: []route.WeightedPool{{Pool: "none", Weight: 1}}},
		{Name: "no weight", Split: []route.WeightedPool{{Pool: "a"}}},
		{Name: "stage", Split: []route.WeightedPool{{Pool: "a", Weight: 1}}, Stages: []route.Stage{{Pool: "a"}}},
		{Name: "order", Split: []route.WeightedPool{{Pool: "a", Weight: 1}}, Stages: []route.Stage{{Pool: "s", After: []int{0}}}},
	} {
		is := is.New(t)
		_, err := route.NewTable(1, []route.Route{r}, []route.Pool{{Name: "a"}, {Name: "s", Batch: &route.Batch{}}}, nil, route.Limits{})
		is.True(err != nil) // the configuration has a mistake
	}
}

// TestShortBranchComesLate guards against results of a short branch that wait for a long one:
// the height says which stages may begin first.
func TestShortBranchComesLate(t *testing.T) {
	is := is.New(t)
	r := route.Route{Stages: []route.Stage{{}, {}, {After: []int{1}}, {After: []int{2}}}}
	is.Equal([]int{r.Height(0), r.Height(1), r.Height(2), r.Height(3)}, []int{1, 3, 2, 1})
	is.Equal(r.FinalStages(), []int{0, 3})
}

// TestPatience guards against requests that are held for callers that have given them up.
func TestPatience(t *testing.T) {
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
