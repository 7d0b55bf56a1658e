package configcheck_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/configcheck"
	"sassafrasward/core/route"
)

// document is a configuration that tests change before it is checked.
type document struct {
	version    uint64
	routes     []route.Route
	pools      []route.Pool
	workspaces []route.Workspace
	limits     route.Limits
}

// sound returns a configuration without mistakes.
func sound() *document {
	return &document{
		version: 2,
		routes: []route.Route{{
			Name: "reports", Host: "a.example", Prefix: "/r/", Kind: route.Stream, Resumable: true, Priority: 1, MaxAttempts: 2,
			Timeout: 6 * time.Second, Objective: 2 * time.Second, MaxEventGap: 500 * time.Millisecond,
			Split: []route.WeightedPool{{Pool: "engines", Weight: 1}}, Stages: []route.Stage{{Pool: "archive", ResultBytes: 1000}},
		}, {
			Name: "orders", Host: "a.example", Prefix: "/o/", Kind: route.Command, MaxAttempts: 1,
			Timeout: 4 * time.Second, Objective: 300 * time.Millisecond, Split: []route.WeightedPool{{Pool: "desk", Weight: 1}},
		}},
		pools: []route.Pool{
			{Name: "engines", MaxConnections: 100, Model: &route.Model{Slots: 24}},
			{Name: "desk", MaxConnections: 100},
			{Name: "archive", Batch: &route.Batch{MaxPieces: 8, CallTime: 200 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultMemory: 1 << 20, ResultTTL: 4 * time.Second}},
		},
		workspaces: []route.Workspace{{Name: "thun", Keys: []string{"secret1"}}, {Name: "biel", Keys: []string{"secret2"}}},
		limits:     route.Limits{HeaderBytes: 1 << 16, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 60 * time.Second},
	}
}

func (d *document) table(t *testing.T) (table *route.Table) {
	t.Helper()
	table, err := route.NewTable(d.version, d.routes, d.pools, d.workspaces, d.limits)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestCheck guards against mistakes that are published because nothing names them, and against findings in a
// configuration that has none.
func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		change func(d *document)
		want   string
	}{
		"sound":              {change: func(*document) {}},
		"same match":         {change: func(d *document) { d.routes[1].Prefix = "/r/" }, want: `error: routes[1] "orders": never matches: routes[0] "reports"`},
		"host with port":     {change: func(d *document) { d.routes[0].Host = "a.example:80" }, want: `error: routes[0] "reports", host: "a.example:80" never matches`},
		"no host":            {change: func(d *document) { d.routes[0].Host = "" }, want: `error: routes[0] "reports", host`},
		"open prefix":        {change: func(d *document) { d.routes[0].Prefix = "/r" }, want: `error: routes[0] "reports", prefix: "/r" does not begin and end`},
		"no weight":          {change: func(d *document) { d.routes[0].Split = append(d.routes[0].Split, route.WeightedPool{Pool: "desk"}) }, want: `warning: routes[0] "reports", split: pool "desk" has the weight 0`},
		"late objective":     {change: func(d *document) { d.routes[1].Objective = 5 * time.Second }, want: `error: routes[1] "orders", objective: 5s is longer than the timeout of 4s`},
		"no timeout":         {change: func(d *document) { d.routes[1].Timeout = 0 }, want: `error: routes[1] "orders", timeout`},
		"slow stages":        {change: func(d *document) { d.pools[2].Batch.CallTime = 7 * time.Second }, want: `error: routes[0] "reports", stages: need 7.01s`},
		"late stages":        {change: func(d *document) { d.pools[2].Batch.CallTime = 3 * time.Second }, want: `warning: routes[0] "reports", stages: need 3.01s`},
		"large result":       {change: func(d *document) { d.routes[0].Stages[0].ResultBytes = 2 << 20 }, want: `error: routes[0] "reports", stages[0]: one result`},
		"large results":      {change: func(d *document) { d.routes[0].Stages[0].ResultBytes = 1 << 18 }, want: `warning: routes[0] "reports", stages[0]: the memory`},
		"short results":      {change: func(d *document) { d.pools[2].Batch.ResultTTL = time.Millisecond }, want: `warning: routes[0] "reports", stages[0]: results of "archive" are kept for 1ms`},
		"command repeated":   {change: func(d *document) { d.routes[1].MaxAttempts = 3 }, want: `warning: routes[1] "orders", attempts`},
		"resumed command":    {change: func(d *document) { d.routes[1].Resumable = true }, want: `warning: routes[1] "orders", resumable`},
		"wide priority":      {change: func(d *document) { d.routes[1].Priority = 10 }, want: `error: routes[1] "orders", priority`},
		"unused pool":        {change: func(d *document) { d.pools = append(d.pools, route.Pool{Name: "spare"}) }, want: `warning: pool "spare": no route`},
		"few connections":    {change: func(d *document) { d.pools[0].MaxConnections = 5 }, want: `warning: pool "engines", connections: 5`},
		"shared key":         {change: func(d *document) { d.workspaces[1].Keys = []string{"secret1"} }, want: `error: workspaces[1] "biel", keys[0]: the key belongs to "thun" too`},
		"no key":             {change: func(d *document) { d.workspaces[1].Keys = nil }, want: `warning: workspaces[1] "biel": has no key`},
		"no keys":            {change: func(d *document) { d.workspaces = []route.Workspace{{Name: "thun"}} }, want: `error: workspaces: no workspace has a key`},
		"same workspace":     {change: func(d *document) { d.workspaces[1].Name = "thun" }, want: `error: workspaces[1] "thun": has the same name`},
		"negative limit":     {change: func(d *document) { d.limits.BodyBytes = -1 }, want: `error: limits, body size`},
		"long header":        {change: func(d *document) { d.limits.HeaderTimeout = 2 * time.Minute }, want: `warning: limits, header timeout: 2m0s`},
		"gap beyond timeout": {change: func(d *document) { d.routes[0].MaxEventGap = time.Minute }, want: `warning: routes[0] "reports", gap`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := sound()
			c.change(d)
			var lines []string
			for _, f := range configcheck.Check(d.table(t)) {
				lines = append(lines, f.String())
			}
			text := strings.Join(lines, "\n")
			is.Equal(text == "", c.want == "")
			is.True(strings.Contains(text, c.want))
			is.True(!strings.Contains(text, "secret"))
		})
	}
}

// TestDiff guards against a change that is published unseen, and against keys in the output.
func TestDiff(t *testing.T) {
	is := is.New(t)
	before, after := sound(), sound()
	is.Equal(len(configcheck.Diff(before.table(t), after.table(t))), 0)
	is.Equal(len(configcheck.CheckVersion(before.table(t), after.table(t))), 1) // hosts ignore an equal version
	after.version++
	after.routes = append(after.routes[:1], route.Route{Name: "lookups", Host: "a.example", Prefix: "/l/", Timeout: 1, Objective: 1, Split: after.routes[1].Split})
	after.routes[0].Timeout = 7 * time.Second
	after.pools[2].Batch = &route.Batch{MaxPieces: 9}
	after.workspaces[0].Keys = []string{"secret3", "secret4"}
	after.limits.BodyBytes = 5
	var lines []string
	for _, c := range configcheck.Diff(before.table(t), after.table(t)) {
		lines = append(lines, c.String())
	}
	is.Equal(len(lines), 6)
	is.Equal(lines[0], `route "reports": changed: Timeout: 6s -> 7s`)
	is.Equal(lines[1:3], []string{`route "lookups": added`, `route "orders": removed`})
	is.True(strings.HasPrefix(lines[3], `pool "archive": changed: Batch: {`) && strings.Contains(lines[3], "MaxPieces:9"))
	is.Equal(lines[4:], []string{`workspace "thun": changed: keys: 2 added, 1 removed`, "limits: changed: BodyBytes: 1048576 -> 5"})
	is.Equal(len(configcheck.CheckVersion(before.table(t), after.table(t))), 0)
}
