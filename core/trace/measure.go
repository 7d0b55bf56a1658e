package trace

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Measure -linecomment

// Measure is what a stated outcome is about.
type Measure int

// The measures, with their words in a trace.
const (
	// Attainment is the share of requests that were answered completely and in time.
	Attainment Measure = iota // attainment
	// Others is the attainment of all workspaces but the subject.
	Others // others
	// Cost is the attainment that the others lose compared with a run in which the
	// subject sends one request in ten.
	Cost // cost
	// Goodput is the in-time answers/s in the load peak divided by Capacity.
	Goodput // goodput
	// Recovery is the time in ms from the end of the peak to the first second whose
	// arrivals reach 95% attainment and after which none falls below.
	Recovery // recovery
	// Short and Long are the p99 in ms of answered short and long work.
	Short // short
	Long  // long
	// Arrived is the share of long requests that were answered completely.
	Arrived // arrived
	// Blocking is the p99 of short work divided by that of a run without long work.
	Blocking // blocking
	// Slowdown is the p99 of short work divided by that of a run without slow moments.
	Slowdown // slowdown
	// Added is the slot time that retries and hedges added divided by that of all other
	// calls.
	Added // added
	// Unknown is the number of requests that ended with outcome unknown.
	Unknown // unknown
	last    // last
)

// Measures returns all measures.
func Measures() (list []Measure) {
	for m := range last {
		list = append(list, m)
	}
	return list
}

// parseMeasure returns the measure with the given word.
func parseMeasure(word string) (m Measure, ok bool) {
	for _, m := range Measures() {
		if m.String() == word {
			return m, true
		}
	}
	return 0, false
}
