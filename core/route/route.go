package route

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Kind -linecomment

// Kind says whether requests of a route may run more than once.
type Kind int

// The kinds of routes.
const (
	// Command requests run at most once for each attempt of a caller.
	Command Kind = iota // command
	// Idempotent requests may run more than once.
	Idempotent // idempotent
	// Stream requests are answered by a series of events. Unless the route is Resumable, they run at
	// most once.
	Stream // stream
)

// Table is one published configuration.
type Table struct {
	version    uint64
	routes     []Route
	pools      map[string]Pool
	workspaces []Workspace
	limits     Limits
	// byHost holds the indexes of the routes of each host name, the longest prefix first.
	byHost map[string][]int
	// byKey holds the index of the workspace of each key.
	byKey map[string]int
}

// Route is one published route. Its fields are set by the decoder of a configuration and are not
// changed afterwards.
type Route struct {
	Name string
	// Host is the host name in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may continue on another target.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of targets to which one attempt of a caller may be sent.
	MaxAttempts int
	// Timeout is the maximum time that the operator lets a caller wait.
	Timeout time.Duration
	// Objective is the latency objective (SLO) for the answer, or for the first event of a stream.
	// An answer within it earns full credit.
	Objective time.Duration
	// MaxEventGap is the maximum time between two events of a stream that meets its objective.
	MaxEventGap time.Duration
	// Split has at least one entry with a positive weight.
	Split  []WeightedPool
	Stages []Stage
	// Homes has the home regions; empty for no restriction.
	Homes []string
}

// WeightedPool is a pool with its weight in the traffic split of a route.
type WeightedPool struct {
	Pool   string
	Weight float64
}

// Stage is work that is done before a request of the route can run.
type Stage struct {
	Pool string
	// DependsOn holds the indexes of the stages whose results this stage reads. Each is smaller than the
	// index of this stage.
	DependsOn []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Pool is the published description of a pool.
type Pool struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections limits the connections of all hosts together to one target.
	MaxConnections int
	// Model is nil unless the targets are model engines.
	Model *Model
	// Batch is nil unless the targets process pieces of stages.
	Batch *Batch
	// SlowStart is nil unless targets that have started take few requests for some time.
	SlowStart *SlowStart
}

// SlowStart describes how targets start.
type SlowStart struct {
	// Duration is the cold time: how long after its start a target is slow.
	Duration time.Duration
	// Rate is the number of requests a second that a cold target takes from all hosts together. It is
	// above zero.
	Rate float64
}

// Model describes the model engines of a pool. All values are per engine.
type Model struct {
	// Slots is the maximum number of requests in one batch.
	Slots int
	// KVTokens is the capacity of the KV cache, in tokens, for running requests and cached prefixes.
	KVTokens int
}

// Batch describes the targets of a pool that process pieces. All values are per target.
type Batch struct {
	// Slots is the maximum number of concurrent calls, Queue that of waiting calls.
	Slots, Queue int
	// MaxPieces is the maximum number of pieces in a call.
	MaxPieces int
	// CallTime is the fixed part of the duration of a call, PieceTime the part per piece.
	CallTime, PieceTime time.Duration
	// ResultMemory is the memory for results in bytes.
	ResultMemory int64
	// ResultTTL is how long a result is kept after the end of its call.
	ResultTTL time.Duration
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Homes has the home regions; empty for no restriction.
	Homes []string
}

// Limits are the limits for requests and connections of callers.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// NewTable validates a configuration and returns its table.
func NewTable(version uint64, routes []Route, pools []Pool, workspaces []Workspace, limits Limits) (t *Table, err error) {
	t = &Table{
		version: version, routes: routes, workspaces: workspaces, limits: limits,
		pools: make(map[string]Pool), byHost: make(map[string][]int), byKey: make(map[string]int),
	}
	for _, p := range pools {
		t.pools[p.Name] = p
	}
	var errs []error
	for i, r := range routes {
		errs = append(errs, t.validate(r)...)
		t.byHost[r.Host] = append(t.byHost[r.Host], i)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b int) int { return len(routes[b].Prefix) - len(routes[a].Prefix) })
	}
	for i, w := range workspaces {
		for _, k := range w.Keys {
			t.byKey[k] = i
		}
	}
	return t, errors.Join(errs...)
}

// validate returns the errors in a route.
func (t *Table) validate(r Route) (errs []error) {
	addError := func(format string, values ...any) {
		errs = append(errs, fmt.Errorf("route %q: "+format, append([]any{r.Name}, values...)...))
	}
	total := 0.0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
		if _, ok := t.pools[s.Pool]; !ok {
			addError("pool %q is not published", s.Pool)
		}
	}
	if total <= 0 {
		addError("no pool has a positive weight")
	}
	for i, s := range r.Stages {
		if p, ok := t.pools[s.Pool]; !ok || p.Batch == nil {
			addError("stage %d: pool %q does not process pieces", i, s.Pool)
		}
		for _, a := range s.DependsOn {
			if a < 0 || a >= i {
				addError("stage %d depends on stage %d, which is not an earlier stage", i, a)
			}
		}
	}
	return errs
}

// Version returns the number of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Routes returns the routes in the order of the configuration. The list must not be changed.
func (t *Table) Routes() []Route { return t.routes }

// Workspaces returns the workspaces in the order of the configuration. The list must not be changed.
func (t *Table) Workspaces() []Workspace { return t.workspaces }

// Pool returns the published pool with the name.
func (t *Table) Pool(name string) (p Pool, ok bool) {
	p, ok = t.pools[name]
	return p, ok
}

// Pools returns the names of all pools in order.
func (t *Table) Pools() (names []string) {
	for name := range t.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Limits returns the limits for requests and connections of callers.
func (t *Table) Limits() Limits { return t.limits }

// RequiresKeys reports whether requests on routes that are not public need an API key.
func (t *Table) RequiresKeys() bool { return len(t.workspaces) > 0 }

// Workspace returns the workspace of the API key.
func (t *Table) Workspace(key string) (w Workspace, ok bool) {
	i, ok := t.byKey[key]
	if !ok {
		return Workspace{}, false
	}
	return t.workspaces[i], true
}

// Lookup returns the route of the host name with the longest matching prefix of the path. The
// host name may have a port.
func (t *Table) Lookup(host, path string) (r Route, ok bool) {
	for _, i := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, t.routes[i].Prefix) {
			return t.routes[i], true
		}
	}
	return Route{}, false
}

// normalizeHost returns a host name in lower case, without a port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// ChoosePool selects a pool according to the weights of the route. The argument is a random
// number in [0, 1).
func (r Route) ChoosePool(fraction float64) (pool string) {
	total := 0.0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	fraction *= total
	for _, s := range r.Split {
		if fraction -= max(s.Weight, 0); fraction < 0 {
			return s.Pool
		}
	}
	return r.Split[len(r.Split)-1].Pool
}

// AtMostOnce reports whether a request of the route may run at most once.
func (r Route) AtMostOnce() bool { return r.Kind == Command || r.Kind == Stream && !r.Resumable }

// FinalStages returns the stages whose results the request itself reads: those that no other
// stage depends on.
func (r Route) FinalStages() (stages []int) {
	hasDependents := make(map[int]bool)
	for _, s := range r.Stages {
		for _, a := range s.DependsOn {
			hasDependents[a] = true
		}
	}
	for i := range r.Stages {
		if !hasDependents[i] {
			stages = append(stages, i)
		}
	}
	return stages
}

// Height returns the number of stages on the longest path from a stage to the request, including
// the stage itself.
func (r Route) Height(stage int) int {
	highest := 0
	for i, s := range r.Stages {
		if slices.Contains(s.DependsOn, stage) {
			highest = max(highest, r.Height(i))
		}
	}
	return highest + 1
}

// Callers of the platform abandon a stream when no event, including the first, arrives for the
// longest of these times.
const (
	minCallerTimeout        = 2 * time.Second
	callerTimeoutObjectives = 4
	callerTimeoutEventGaps  = 8
)

// CallerTimeout returns how long a caller waits for the start of an answer before it gives up.
func (r Route) CallerTimeout() time.Duration {
	if r.Kind != Stream {
		return r.Timeout
	}
	return max(minCallerTimeout, callerTimeoutObjectives*r.Objective, callerTimeoutEventGaps*r.MaxEventGap)
}
