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
	// deadline is the deadline of the request, as time since process start.
	deadline time.Duration
	// downstreamTime is the time that later stages of the request are predicted to need.
	downstreamTime time.Duration
	// size is the predicted size, in tokens for engines; 1 or less if not known.
	size   float64
	long   bool
	prefix uint64
	// fingerprint identifies the request content and stage; zero for none.
	fingerprint uint64
	idempotent  bool
	// stream is true if the answer is forwarded as it arrives.
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

// WithPipeline sets the pipeline that the call belongs to.
func WithPipeline(name string) CallOption { return func(c *Call) { c.pipeline = name } }

// WithStage sets the stage, for pools that run several stages of a pipeline.
func WithStage(name string) CallOption { return func(c *Call) { c.stage = name } }

// WithDownstreamTime sets the time that later stages are predicted to need.
func WithDownstreamTime(d time.Duration) CallOption { return func(c *Call) { c.downstreamTime = d } }

// WithSize sets the predicted size.
func WithSize(size float64) CallOption { return func(c *Call) { c.size = size } }

// WithLong marks the call as long work.
func WithLong(long bool) CallOption { return func(c *Call) { c.long = long } }

// WithPrefix sets the hash of the prompt prefix; zero for none.
func WithPrefix(prefix uint64) CallOption { return func(c *Call) { c.prefix = prefix } }

// WithFingerprint sets the fingerprint of the request and stage; zero for none.
func WithFingerprint(f uint64) CallOption { return func(c *Call) { c.fingerprint = f } }

// WithIdempotent sets whether the call may be repeated.
func WithIdempotent(idempotent bool) CallOption { return func(c *Call) { c.idempotent = idempotent } }

// WithStream sets whether the answer is forwarded as it arrives. Such a call is not hedged,
// because two runs may produce different tokens.
func WithStream(stream bool) CallOption { return func(c *Call) { c.stream = stream } }

// WithAvoid lists targets that the call must not run on if another one is available.
func WithAvoid(targets ...string) CallOption { return func(c *Call) { c.avoid = targets } }

// promptParts returns the parts of the call's prompt that other calls may have as well.
func (c Call) promptParts() []uint64 {
	if c.prefix == 0 {
		return nil
	}
	return []uint64{c.prefix}
}

// ID returns the identity of the attempt.
func (c Call) ID() ID { return c.id }

// Workspace returns the workspace that the call belongs to.
func (c Call) Workspace() string { return c.workspace }

// Deadline returns the deadline of the request.
func (c Call) Deadline() time.Duration { return c.deadline }

// Long reports whether the call is long work.
func (c Call) Long() bool { return c.long }
