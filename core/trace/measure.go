package trace

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Measure -linecomment

// Measure is what a stated outcome is about.
type Measure int

// The measures, with their words in a trace; measureDocs says what they mean.
const (
	Attainment      Measure = iota // attainment
	OtherAttainment                // others
	AttainmentLoss                 // cost
	Goodput                        // goodput
	RecoveryTime                   // recovery
	ShortLatency                   // short
	LongLatency                    // long
	LongAttainment                 // arrived
	BlockingRatio                  // blocking
	SlowdownRatio                  // slowdown
	RetryOverhead                  // added
	UnknownOutcomes                // unknown
	last                           // last
)

var measureDocs = [last]string{
	Attainment:      "share of requests that were answered completely and in time",
	OtherAttainment: "attainment of all workspaces but the subject",
	AttainmentLoss:  "attainment that the others lose compared with a run in which the subject sends one request in ten",
	Goodput:         "in-time answers in the load peak divided by what the pools can do in it",
	RecoveryTime:    "ms from the end of the peak to the first second whose arrivals reach 95% attainment and after which none falls below",
	ShortLatency:    "p99 in ms of short work; a request without an answer counts with its deadline",
	LongLatency:     "p99 in ms of long work; a request without an answer counts with its deadline",
	LongAttainment:  "share of long requests that were answered completely",
	BlockingRatio:   "p99 of short work divided by that of a run without long work",
	SlowdownRatio:   "p99 of short work divided by that of a run without slow moments",
	RetryOverhead:   "slot time that retries and hedges added divided by that of all other calls",
	UnknownOutcomes: "number of requests that ended with outcome unknown",
}

// Doc returns the meaning and the unit of the measure.
func (m Measure) Doc() string { return measureDocs[m] }

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
