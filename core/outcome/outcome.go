package outcome

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Outcome -linecomment

// Outcome is the result class of a request as told to its caller.
type Outcome int

// The outcomes, with their words on the wire.
const (
	// Done means that the whole answer was delivered.
	Done Outcome = iota // done
	// Failed means that there is no whole answer. An idempotent request may have run in
	// part; a command was reported as failed by its target.
	Failed // failed
	// NotRun means that no target began a stage with consequences.
	NotRun // not-run
	// Unknown means that a command may have run and will not be run again.
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
