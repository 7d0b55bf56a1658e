package owner

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"sassafrasward/core/command"
	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/io/metric"
	"sassafrasward/io/pause"
	"sassafrasward/io/peer"
	"sassafrasward/io/runner"
	"sassafrasward/io/view"
	"sassafrasward/io/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("owner")

const (
	secretBytes = 32
	// MaxKeys is the maximum number of keys that Issue returns for one addresses request.
	MaxKeys = 100
	// resumeDelay is how long a host begins no commands after a pause. It is long enough to read,
	// and refuse, all requests that waited in the socket buffers during the pause.
	resumeDelay = 200 * time.Millisecond
	// sweepInterval is the time between two removals of records of expired keys.
	sweepInterval = time.Minute
)

// Runner runs a request and returns its answer.
type Runner interface {
	Run(ctx context.Context, request runner.Request) wire.Answer
}

// Owner runs the commands whose keys this host issued and forwards all others to their owners.
// It is safe for concurrent use.
type Owner struct {
	host    string
	clock   func() time.Duration
	runner  Runner
	views   *view.Holder
	conns   *peer.ConnPool
	metrics *metric.Metrics
	log     logr.Logger
	// incarnation identifies this process, in the keys that it issues and to other hosts.
	incarnation uint64
	// directory is nil if the host knows other hosts only from the host list.
	directory Directory
	// hostList is the newest host list.
	hostList atomic.Pointer[wire.HostList]
	pauses   *pause.Detector

	mutex     sync.Mutex
	table     *command.Table
	successor *command.Successor
	// running has the commands in table that have begun and not finished.
	running map[command.Key]*execution
	// draining makes the host refuse new commands. Once set, it stays set.
	draining bool
	// idle is closed when the host is draining and no command is running.
	idle      chan struct{}
	lastSweep time.Duration
}

// execution is a running command.
type execution struct {
	// done is closed after answer is set.
	done   chan struct{}
	answer wire.Answer
}

// Option configures an Owner.
type Option func(*Owner)

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(o *Owner) { o.log = log } }

// New returns an Owner with a new random incarnation of the host and a new key secret. The clock
// returns the time since process start.
func New(host string, clock func() time.Duration, r Runner, views *view.Holder, conns *peer.ConnPool, metrics *metric.Metrics, options ...Option) *Owner {
	var seed [8 + secretBytes]byte
	_, _ = rand.Read(seed[:])
	o := &Owner{
		host: host, clock: clock, runner: r, views: views, conns: conns, metrics: metrics, log: logr.Discard(),
		incarnation: binary.BigEndian.Uint64(seed[:]),
		successor:   command.NewSuccessor(command.DefaultMaxInherited), pauses: pause.New(clock()),
		running: make(map[command.Key]*execution), idle: make(chan struct{}),
	}
	o.hostList.Store(&wire.HostList{})
	for _, option := range options {
		option(o)
	}
	o.table = command.NewTable(host, o.incarnation, seed[8:])
	return o
}

// SetHosts replaces the host list, which is used to find owners and successors.
func (o *Owner) SetHosts(list wire.HostList) { o.hostList.Store(&list) }

// Issue returns up to n keys for the workspace and how long they are valid. A draining host
// returns none.
func (o *Owner) Issue(workspace string, n int) (keys []string, lifetime time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.draining {
		return nil, 0
	}
	for range min(n, MaxKeys) {
		keys = append(keys, o.table.Issue(o.clock(), workspace).String())
	}
	return keys, o.table.Lifetime()
}

// Tick updates the pause detector and, once per sweepInterval, removes the records of
// expired keys. The control goroutine calls it every 100 ms.
func (o *Owner) Tick() {
	now := o.clock()
	o.pauses.Tick(now)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if now-o.lastSweep < sweepInterval {
		return
	}
	o.lastSweep = now
	o.table.Expire(now)
	o.successor.Expire(now)
}

// paused reports whether the process is or was recently paused. A request that waited in the socket
// buffers of a paused host may be past its deadline, since requests carry only the remaining time, and
// its caller may have received another answer.
func (o *Owner) paused() bool {
	now := o.clock()
	return o.pauses.PausedSince(now, now-resumeDelay)
}

// NeverBegun reports whether the command of the request's key is known never to have begun, so
// that the request can be refused with the outcome not-run. The host knows this for keys that
// it issued and for text that is not a valid key.
func (o *Owner) NeverBegun(pipeline string, request wire.Request) bool {
	c, why := parse(pipeline, request)
	if why != reason.None {
		return why == reason.ForgedKey
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.table.Lookup(o.clock(), c.key, c.workspace, c.fingerprint).Status() == command.Begun
}

// Run runs a request. A command runs here if this host owns its key; otherwise it is forwarded.
func (o *Owner) Run(ctx context.Context, request runner.Request) wire.Answer {
	if !request.Pipeline().Command() {
		return o.runner.Run(ctx, request)
	}
	// Commands do not stream tokens: a duplicate could not receive those already sent.
	request = request.WithTokenFunc(nil)
	c, why := parse(request.Pipeline().Name(), request.Body())
	if why != reason.None {
		return refuse(request.ID(), why, "")
	}
	if o.owns(c.key) {
		return o.runLocal(ctx, request, c)
	}
	return o.runRemote(ctx, request, c)
}

// keyedRequest identifies a command request by its key, workspace and body fingerprint.
type keyedRequest struct {
	key         command.Key
	workspace   string
	fingerprint command.Fingerprint
}

func parse(pipeline string, request wire.Request) (c keyedRequest, why reason.Reason) {
	key, err := command.Parse(request.Key)
	if err != nil {
		return c, reason.ForgedKey
	}
	f, err := command.NewFingerprint(pipeline, request.Workspace, request.Input)
	if err != nil {
		return c, reason.Malformed
	}
	return keyedRequest{key: key, workspace: request.Workspace, fingerprint: f}, reason.None
}

func (o *Owner) owns(k command.Key) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.table.Owns(k)
}

// runLocal runs a command whose key this host issued. A duplicate waits for the running command
// or gets the stored answer of the finished one.
func (o *Owner) runLocal(ctx context.Context, request runner.Request, c keyedRequest) wire.Answer {
	d, e := o.begin(c, request)
	switch d.Status() {
	case command.Begun:
		o.metrics.Counter("command.begun").Inc(1)
		go o.execute(context.WithoutCancel(ctx), request, c.key, e)
		return await(ctx, e, request.ID(), reason.CallerGone)
	case command.Running:
		o.metrics.Counter("command.duplicate").Inc(1)
		ctx, cancel := context.WithTimeout(ctx, request.Timeout())
		defer cancel()
		return await(ctx, e, request.ID(), reason.StillRunning)
	case command.Finished:
		o.metrics.Counter("command.duplicate").Inc(1)
		return storedAnswer(request.ID(), d.Result())
	}
	return refuse(request.ID(), d.Reason(), "")
}

// begin decides on a request whose key this host issued. The execution is set if the command
// begins or is running.
func (o *Owner) begin(c keyedRequest, request runner.Request) (d command.Decision, e *execution) {
	v := o.views.Load()
	maxRecords := 0
	if doc := v.Document(); doc != nil {
		w, _ := doc.Workspace(c.workspace)
		maxRecords = w.MaxCommandRecords()
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	d = o.table.Lookup(o.clock(), c.key, c.workspace, c.fingerprint)
	if why := o.beginRefusal(v, request); d.Status() == command.Begun && why != reason.None {
		return command.Refuse(why), nil
	}
	d = o.table.Begin(o.clock(), c.key, c.workspace, c.fingerprint, maxRecords)
	if d.Status() == command.Begun {
		o.running[c.key] = &execution{done: make(chan struct{})}
	}
	return d, o.running[c.key]
}

// beginRefusal returns why no command may begin now, or None. Forwarded commands did not pass the
// checks of this host's callerapi.Server, and the forwarding host may have another configuration,
// so the checks are made here. A command begins only if its pipeline is in the configuration and has a
// command stage.
func (o *Owner) beginRefusal(v *view.View, request runner.Request) reason.Reason {
	switch {
	case o.draining || !v.Outlasts(request.Timeout()):
		return reason.Draining
	case o.paused():
		return reason.HostPaused
	case v.Refusal() == reason.Joining:
		return reason.Joining
	case v.Document() != nil && !v.Document().ActivePreset().AcceptsRequests():
		return reason.PresetClosed
	case !request.Pipeline().Command():
		return reason.UnknownPipeline
	}
	return reason.None
}

// execute runs a command that has begun, stores its answer and wakes the waiting requests.
func (o *Owner) execute(ctx context.Context, request runner.Request, key command.Key, e *execution) {
	e.answer = o.runner.Run(ctx, request)
	o.finish(key, e.answer)
	close(e.done)
}

// finish stores the answer of a command. If the answer cannot be encoded or has an invalid
// outcome, the outcome unknown is stored.
func (o *Owner) finish(key command.Key, answer wire.Answer) {
	body, err := json.Marshal(answer)
	end, ok := outcome.Parse(answer.Outcome)
	if err != nil || !ok {
		end = outcome.Unknown
	}
	why, _ := reason.Parse(answer.Reason)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.table.Finish(key, command.NewResult(end, why, body))
	delete(o.running, key)
	o.closeIfIdle()
}

// closeIfIdle closes idle if the host is draining and no command is running.
func (o *Owner) closeIfIdle() {
	if !o.draining || len(o.running) > 0 {
		return
	}
	select {
	case <-o.idle:
	default:
		close(o.idle)
	}
}

// await returns the answer of an execution under the request ID id. If the context ends
// first, it returns a refusal with the outcome unknown.
func await(ctx context.Context, e *execution, id string, why reason.Reason) wire.Answer {
	select {
	case <-e.done:
		answer := e.answer
		answer.Request = id
		return answer
	case <-ctx.Done():
		answer := refuse(id, why, "")
		answer.Outcome = outcome.Unknown.String()
		return answer
	}
}

// storedAnswer returns the stored answer of a finished command under the request ID id.
func storedAnswer(id string, r command.Result) (answer wire.Answer) {
	if r.Answer() == nil {
		answer = refuse(id, reason.BodyTooLarge, fmt.Sprintf("the command ended as %s; its answer of %d bytes was not kept", r.Outcome(), r.Size()))
		answer.Outcome = outcome.Unknown.String()
		return answer
	}
	if err := json.Unmarshal(r.Answer(), &answer); err != nil {
		answer = refuse(id, reason.OwnerUnreachable, err.Error())
	}
	answer.Request = id
	return answer
}

func refuse(id string, why reason.Reason, detail string) wire.Answer {
	return wire.Answer{Request: id, Outcome: why.Entry().Outcome().String(), Reason: why.String(), Detail: detail}
}
