package outcome

// Progress is how far a request came, as far as its outcome depends on it.
type Progress struct {
	// command is true if a stage of the request may not be repeated.
	command bool
	// called is true once a target was called.
	called bool
	// ran is true once a command stage completed.
	ran bool
}

// NewProgress returns the progress of a request that has called no target. The flag tells
// whether one of its stages may not be repeated.
func NewProgress(command bool) Progress { return Progress{command: command} }

// Call takes that a target is called.
func (p *Progress) MarkCalled() { p.called = true }

// Complete takes that a stage completed; the flag tells whether it was a command.
func (p *Progress) MarkCompleted(command bool) { p.ran = p.ran || command }

// Unwritten returns the outcome of a request that ends while no command is being written.
// The plain outcome is that of a request without commands that has called no target.
//
// A request with commands is not run until the first of them was written, whatever its
// other stages did, because the caller may then act again. A request without commands is
// not run only if no target was called at all.
func (p *Progress) OutcomeWithoutWrite(plain Outcome) Outcome {
	switch {
	case p.command && p.ran:
		return Unknown
	case p.command:
		return NotRun
	case p.called && plain == NotRun:
		return Failed
	}
	return plain
}
