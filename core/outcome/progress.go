package outcome

// Progress tracks the events of a request that its outcome depends on.
type Progress struct {
	// hasCommand is true if a stage of the request may not be repeated.
	hasCommand bool
	// targetCalled is true once a target was called.
	targetCalled bool
	// commandCompleted is true once a command stage completed.
	commandCompleted bool
}

// NewProgress returns the progress of a request that has called no target yet. The parameter
// command is true if one of its stages may not be repeated.
func NewProgress(command bool) Progress { return Progress{hasCommand: command} }

// MarkCalled records that a target is called.
func (p *Progress) MarkCalled() { p.targetCalled = true }

// MarkCompleted records that a stage completed, and whether it was a command.
func (p *Progress) MarkCompleted(command bool) { p.commandCompleted = p.commandCompleted || command }

// OutcomeWithoutWrite returns the outcome of a request that ends while no command is being
// written to a target. The fallback is the outcome of a request without commands that has
// called no target.
//
// A request with commands counts as NotRun until the first command was written, whatever its
// other stages did, because the caller may safely send it again. A request without commands
// counts as NotRun only if no target was called at all; otherwise NotRun becomes Failed.
func (p *Progress) OutcomeWithoutWrite(fallback Outcome) Outcome {
	switch {
	case p.hasCommand && p.commandCompleted:
		return Unknown
	case p.hasCommand:
		return NotRun
	case p.targetCalled && fallback == NotRun:
		return Failed
	}
	return fallback
}
