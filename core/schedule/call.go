package schedule

import "time"

// ID identifies one attempt of one stage call on this host.
type ID uint64

// Call is one attempt of a stage call that waits for or runs on a target.
type Call struct {
	id        ID
	workspace string
	pipeline  string
	stage     string
	// deadline is the latest useful end, as time since process start.
	deadline time.Duration
	// after is the time that later stages of the request are expected to need.
	after time.Duration
	// size is the predicted work; for engines, tokens.
	size   float64
	long   bool
	prefix uint64
	// fingerprint is equal for equal requests and stages.
	fingerprint uint64
	idempotent  bool
	// stream is true if the answer is passed on while it comes in.
	stream bool
	// avoid lists the targets that earlier attempts of the call ran on.
	avoid []string
}

// CallOption sets a property of a Call.
type CallOption func(*Call)

// NewCall returns a call with the given identity and deadline.
func NewCall(id ID, workspace string, deadline time.Duration, options ...CallOption) Call {
	c := Call{id: id, workspace: workspace, deadline: deadline, size: 1}
	for _, o := range options {
		o(&c)
	}
	return c
}

// WithPipeline names the pipeline that the call belongs to.
func WithPipeline(name string) CallOption { return func(c *Call) { c.pipeline = name } }

// WithStage names the stage, for pools that run several stages of a pipeline.
func WithStage(name string) CallOption { return func(c *Call) { c.stage = name } }

// WithAfter states the time that later stages are expected to need.
func WithDownstreamTime(d time.Duration) CallOption { return func(c *Call) { c.after = d } }

// WithSize states the predicted work.
func WithSize(size float64) CallOption { return func(c *Call) { c.size = size } }

// WithLong marks the call as long work.
func WithLong(long bool) CallOption { return func(c *Call) { c.long = long } }

// WithPrefix states the hash of the prompt prefix; zero for none.
func WithPrefix(prefix uint64) CallOption { return func(c *Call) { c.prefix = prefix } }

// WithFingerprint states the fingerprint of the request and stage.
func WithFingerprint(f uint64) CallOption { return func(c *Call) { c.fingerprint = f } }

// WithIdempotent states whether the call may be repeated.
func WithIdempotent(idempotent bool) CallOption { return func(c *Call) { c.idempotent = idempotent } }

// WithStream states whether the answer is passed on while it comes in. Such a call is not
// hedged, because two runs may give different tokens.
func WithStream(stream bool) CallOption { return func(c *Call) { c.stream = stream } }

// WithAvoid lists targets that the call must not run on if another one is there.
func WithAvoid(targets ...string) CallOption { return func(c *Call) { c.avoid = targets } }

// ID returns the identity of the attempt.
func (c Call) ID() ID { return c.id }

// Workspace returns the workspace that the call belongs to.
func (c Call) Workspace() string { return c.workspace }

// Deadline returns the latest useful end.
func (c Call) Deadline() time.Duration { return c.deadline }

// Long reports whether the call is long work.
func (c Call) Long() bool { return c.long }
