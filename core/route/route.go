package route

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Kind -linecomment

// Kind says what may be repeated.
type Kind int

// The kinds.
const (
	// Command requests run at most once for each attempt of a caller.
	Command Kind = iota // command
	// Idempotent requests may run more than once.
	Idempotent // idempotent
	// Stream requests are answered by a series of events. Without Resumable they run at
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
	// byHost has the routes of each host name, the longest prefix first.
	byHost map[string][]int
	// byKey has the index of the workspace that holds a key.
	byKey map[string]int
}

// Route is one published route. Its fields are set by the decoder of a configuration and
// not changed afterwards.
type Route struct {
	Name string
	// Host is the host name in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another target.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Priority is the rank of the requests, 0 first.
	Priority int
	// Attempts is the largest number of targets that one attempt of a caller may be sent to.
	MaxAttempts int
	// Timeout is the longest time that the operator lets a caller wait.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream, that earns
	// full credit.
	Objective time.Duration
	// Pause is the longest pause between two events of a stream that is in time.
	MaxEventGap time.Duration
	// Split has at least one entry with a positive weight.
	Split  []WeightedPool
	Stages []Stage
}

// Share is a pool and its part of the requests of a route.
type WeightedPool struct {
	Pool   string
	Weight float64
}

// Stage is work that is done before a request of the route can run.
type Stage struct {
	Pool string
	// After has the indexes of the stages whose results this one reads; each is smaller
	// than the number of stages.
	After []int
	// Bytes is the approximate size of one result.
	ResultBytes int64
}

// Pool is what is published of a pool.
type Pool struct {
	Name string
	// Health is the path of the health check.
	HealthPath string
	// Connections is the bound on connections to one target, over all hosts.
	MaxConnections int
	// Model is nil unless the targets are model engines.
	Model *Model
	// Batch is nil unless the targets work on pieces of stages.
	Batch *Batch
}

// Model describes the model engines of a pool; each figure is for one engine.
type Model struct {
	// Slots is the number of requests in one batch.
	Slots int
	// Tokens is the memory for running requests and cached prefixes.
	KVTokens int
}

// Batch describes the targets of a pool that work on pieces; each figure is for one target.
type Batch struct {
	// Slots is the number of calls in progress at the same time, Queue of those that wait.
	Slots, Queue int
	// Size is the largest number of pieces in a call.
	MaxPieces int
	// Call is the fixed part of the duration of a call, Piece the part of each piece.
	CallTime, PieceTime time.Duration
	// Room is the memory for results in bytes.
	ResultMemory int64
	// Keep is how long a result is kept after the end of its call.
	ResultTTL time.Duration
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority goes before that of a route if Ranked is set.
	Priority    int
	HasPriority bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// NewTable checks the parts of a configuration and returns its table.
func NewTable(version uint64, routes []Route, pools []Pool, workspaces []Workspace, limits Limits) (t *Table, err error) {
	t = &Table{
		version: version, routes: routes, workspaces: workspaces, limits: limits,
		pools: make(map[string]Pool), byHost: make(map[string][]int), byKey: make(map[string]int),
	}
	for _, p := range pools {
		t.pools[p.Name] = p
	}
	var faults []error
	for i, r := range routes {
		faults = append(faults, t.check(r)...)
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
	return t, errors.Join(faults...)
}

// check returns the mistakes of a route.
func (t *Table) check(r Route) (faults []error) {
	wrong := func(format string, values ...any) {
		faults = append(faults, fmt.Errorf("route %q: "+format, append([]any{r.Name}, values...)...))
	}
	total := 0.0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
		if _, ok := t.pools[s.Pool]; !ok {
			wrong("pool %q is not published", s.Pool)
		}
	}
	if total <= 0 {
		wrong("no pool has a weight above zero")
	}
	for i, s := range r.Stages {
		if p, ok := t.pools[s.Pool]; !ok || p.Batch == nil {
			wrong("stage %d: pool %q does not work on pieces", i, s.Pool)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				wrong("stage %d comes after stage %d, which does not come before it", i, a)
			}
		}
	}
	return faults
}

// Version returns the number of the configuration.
func (t *Table) Version() uint64 { return t.version }

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

// Limits returns the bounds of what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Keyed reports whether routes that are not public need a key.
func (t *Table) RequiresKeys() bool { return len(t.workspaces) > 0 }

// Workspace returns the workspace that holds the key.
func (t *Table) Workspace(key string) (w Workspace, ok bool) {
	i, ok := t.byKey[key]
	if !ok {
		return Workspace{}, false
	}
	return t.workspaces[i], true
}

// Lookup returns the route with the longest prefix of the path among those of the host
// name, which may have a port.
func (t *Table) Lookup(host, path string) (r Route, ok bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, i := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, t.routes[i].Prefix) {
			return t.routes[i], true
		}
	}
	return Route{}, false
}

// Choose returns the pool of a request by the weights of the route; at is in [0, 1).
func (r Route) ChoosePool(at float64) (pool string) {
	total := 0.0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	at *= total
	for _, s := range r.Split {
		if at -= max(s.Weight, 0); at < 0 {
			return s.Pool
		}
	}
	return r.Split[len(r.Split)-1].Pool
}

// Once reports whether a request of the route may run at most once.
func (r Route) AtMostOnce() bool { return r.Kind == Command || r.Kind == Stream && !r.Resumable }

// Final returns the stages whose results the request itself reads: those that no other
// stage follows.
func (r Route) FinalStages() (stages []int) {
	followed := make(map[int]bool)
	for _, s := range r.Stages {
		for _, a := range s.After {
			followed[a] = true
		}
	}
	for i := range r.Stages {
		if !followed[i] {
			stages = append(stages, i)
		}
	}
	return stages
}

// Height returns the number of stages on the longest path from a stage to the request, the
// stage included.
func (r Route) Height(stage int) int {
	highest := 0
	for i, s := range r.Stages {
		if slices.Contains(s.After, stage) {
			highest = max(highest, r.Height(i))
		}
	}
	return highest + 1
}

// Callers of the platform give a stream up after the longest of these without an event, its
// first one included.
const (
	patienceLeast      = 2 * time.Second
	patienceObjectives = 4
	patiencePauses     = 8
)

// Patience returns how long a caller waits for the first of an answer.
func (r Route) CallerTimeout() time.Duration {
	if r.Kind != Stream {
		return r.Timeout
	}
	return max(patienceLeast, patienceObjectives*r.Objective, patiencePauses*r.MaxEventGap)
}
