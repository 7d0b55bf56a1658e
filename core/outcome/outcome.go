package outcome

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Outcome -linecomment

// Outcome is the outcome of a request as reported to its caller.
type Outcome int

// The outcomes. The comment behind each value is its word on the wire.
const (
	// Done means that the complete answer was delivered.
	Done Outcome = iota // done
	// Failed means that there is no complete answer. An idempotent request may have run
	// partially; a command was reported as failed by its target.
	Failed // failed
	// NotRun means that no target began a stage that may not be repeated.
	NotRun // not-run
	// Unknown means that a command may have run. It will not be run again.
	Unknown // unknown
)

// Parse returns the outcome with the given word.
func Parse(word string) (o Outcome, ok bool) {
	for o := Done; o <= Unknown; o++ {
		if o.String() == word {
			return o, true
		}
	}
	return Unknown, false
}
