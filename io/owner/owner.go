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
	"sassafrasward/io/peer"
	"sassafrasward/io/runner"
	"sassafrasward/io/view"
	"sassafrasward/io/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("owner")

const (
	secretBytes = 32
	// MaxKeys is the largest number of keys that one address answer carries.
	MaxKeys = 100
	// sweep is the period in which records of expired keys are removed.
	sweep = time.Minute
)

// Executor runs a job to its end.
type Executor interface {
	Run(ctx context.Context, job runner.Job) wire.Answer
}

// Owner runs the commands of the keys that this host issued and forwards others. It is
// safe for concurrent use.
type Owner struct {
	host     string
	clock    func() time.Duration
	executor Executor
	views    *view.Holder
	peers    *peer.Pool
	metrics  *metric.Metrics
	log      logr.Logger
	// incarnation identifies this process in its keys and for other hosts.
	incarnation uint64
	// directory is nil if the host knows no other hosts but the listed ones.
	directory Directory
	// listed is the newest host list.
	listed atomic.Pointer[wire.HostList]
	pauses pauseDetector

	mutex     sync.Mutex
	table     *command.Table
	successor *command.Successor
	// flights has an entry for each record of table that runs.
	flights map[command.Key]*flight
	// draining stops commands from beginning; it never becomes false again.
	draining bool
	// idle is closed once the host drains and no command runs.
	idle  chan struct{}
	swept time.Duration
}

// flight is a command that runs.
type flight struct {
	// done is closed after answer was set.
	done   chan struct{}
	answer wire.Answer
}

// Option configures an Owner.
type Option func(*Owner)

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(o *Owner) { o.log = log } }

// New returns the owner of a new incarnation of the host. The clock returns the time since
// process start.
func New(host string, clock func() time.Duration, executor Executor, views *view.Holder, peers *peer.Pool, metrics *metric.Metrics, options ...Option) *Owner {
	var seed [8 + secretBytes]byte
	_, _ = rand.Read(seed[:])
	o := &Owner{
		host: host, clock: clock, executor: executor, views: views, peers: peers, metrics: metrics, log: logr.Discard(),
		incarnation: binary.BigEndian.Uint64(seed[:]),
		successor:   command.NewSuccessor(command.DefaultMaxInherited),
		flights:     make(map[command.Key]*flight), idle: make(chan struct{}),
	}
	o.listed.Store(&wire.HostList{})
	o.pauses.last.Store(int64(clock()))
	for _, option := range options {
		option(o)
	}
	o.table = command.NewTable(host, o.incarnation, seed[8:])
	return o
}

// SetHosts replaces the host list, by which owners and successors are found.
func (o *Owner) SetHosts(list wire.HostList) { o.listed.Store(&list) }

// Issue returns up to n keys for the workspace and how long they are valid. A draining
// host issues none.
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

// Tick notes that the process is not paused and removes the records of expired keys. The
// control goroutine calls it each 100 ms.
func (o *Owner) Tick() {
	now := o.clock()
	o.pauses.observe(now)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if now-o.swept < sweep {
		return
	}
	o.swept = now
	o.table.Expire(now)
	o.successor.Expire(now)
}

// Fresh reports whether the command of the request's key has surely never begun, so that a
// refusal of the request is a true not-run. This host knows it of its own keys and of
// texts that are not keys.
func (o *Owner) Fresh(pipeline string, request wire.Request) bool {
	c, why := parse(pipeline, request)
	if why != reason.None {
		return why == reason.ForgedKey
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.table.Lookup(o.clock(), c.key, c.workspace, c.fingerprint).Status() == command.Begun
}

// Run runs a job. A command is run by the owner of its key.
func (o *Owner) Run(ctx context.Context, job runner.Job) wire.Answer {
	if !job.Pipeline().Command() {
		return o.executor.Run(ctx, job)
	}
	// Tokens are not streamed: a duplicate could not be given those that were sent.
	job = job.Streaming(nil)
	c, why := parse(job.Pipeline().Name(), job.Request())
	if why != reason.None {
		return refuse(job.ID(), why, "")
	}
	if o.owns(c.key) {
		return o.local(ctx, job, c)
	}
	return o.remote(ctx, job, c)
}

// parsed is a request that carries a key.
type parsed struct {
	key         command.Key
	workspace   string
	fingerprint command.Fingerprint
}

func parse(pipeline string, request wire.Request) (c parsed, why reason.Reason) {
	key, err := command.Parse(request.Key)
	if err != nil {
		return c, reason.ForgedKey
	}
	f, err := command.NewFingerprint(pipeline, request.Workspace, request.Input)
	if err != nil {
		return c, reason.Malformed
	}
	return parsed{key: key, workspace: request.Workspace, fingerprint: f}, reason.None
}

func (o *Owner) owns(k command.Key) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.table.Owns(k)
}

// local runs a command of this host's own key, or answers it with the end of the first
// request with the key.
func (o *Owner) local(ctx context.Context, job runner.Job, c parsed) wire.Answer {
	d, f := o.begin(c, job.Pipeline().Command())
	switch d.Status() {
	case command.Begun:
		o.metrics.Counter("command.begun").Inc(1)
		go o.execute(context.WithoutCancel(ctx), job, c.key, f)
		return await(ctx, f, job.ID(), reason.CallerGone)
	case command.Running:
		o.metrics.Counter("command.duplicate").Inc(1)
		ctx, cancel := context.WithTimeout(ctx, job.Limit())
		defer cancel()
		return await(ctx, f, job.ID(), reason.StillRunning)
	case command.Finished:
		o.metrics.Counter("command.duplicate").Inc(1)
		return replay(job.ID(), d.Result())
	}
	return refuse(job.ID(), d.Reason(), "")
}

// begin decides on a request with a key of this host. The flight is that of the command
// if it begins or runs. No command begins unless it is runnable, that is, its pipeline is
// published with a command stage.
func (o *Owner) begin(c parsed, runnable bool) (d command.Decision, f *flight) {
	v := o.views.Load()
	limit := 0
	if doc := v.Document(); doc != nil {
		w, _ := doc.Workspace(c.workspace)
		limit = w.MaxCommandRecords()
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	d = o.table.Lookup(o.clock(), c.key, c.workspace, c.fingerprint)
	if why := o.closed(v, runnable); d.Status() == command.Begun && why != reason.None {
		return command.Refuse(why), nil
	}
	d = o.table.Begin(o.clock(), c.key, c.workspace, c.fingerprint, limit)
	if d.Status() == command.Begun {
		o.flights[c.key] = &flight{done: make(chan struct{})}
	}
	return d, o.flights[c.key]
}

// closed returns why no command may begin now, or None. Commands that are forwarded by a
// host with another view come here without the checks of this host's front.
func (o *Owner) closed(v *view.View, runnable bool) reason.Reason {
	switch {
	case o.draining:
		return reason.Draining
	case o.pauses.paused(o.clock()):
		return reason.HostPaused
	case v.Refusal() == reason.Joining:
		return reason.Joining
	case v.Document() != nil && !v.Document().ActivePreset().AcceptsRequests():
		return reason.PresetClosed
	case !runnable:
		return reason.UnknownPipeline
	}
	return reason.None
}

// execute runs a command that began and ends its flight.
func (o *Owner) execute(ctx context.Context, job runner.Job, key command.Key, f *flight) {
	f.answer = o.executor.Run(ctx, job)
	o.finish(key, f.answer)
	close(f.done)
}

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
	delete(o.flights, key)
	o.settle()
}

// settle closes idle if the host drains and no command runs.
func (o *Owner) settle() {
	if !o.draining || len(o.flights) > 0 {
		return
	}
	select {
	case <-o.idle:
	default:
		close(o.idle)
	}
}

// await returns the answer of a flight to the request with the given identity, or a
// refusal if the context ends first.
func await(ctx context.Context, f *flight, id string, why reason.Reason) wire.Answer {
	select {
	case <-f.done:
		answer := f.answer
		answer.Request = id
		return answer
	case <-ctx.Done():
		answer := refuse(id, why, "")
		answer.Outcome = outcome.Unknown.String()
		return answer
	}
}

// replay returns the answer of a finished command to the request with the given identity.
func replay(id string, r command.Result) (answer wire.Answer) {
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
