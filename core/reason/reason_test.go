package reason_test

import (
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
)

// word is the shape of a reason on the wire and in the names of counters.
var word = regexp.MustCompile(`^[a-z]+$`)

// TestRegistry guards against a reason without an entry, in the wrong place or with a word
// of another one, and against an entry without documentation.
func TestRegistry(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for i, r := range reason.Entries() {
		is.Equal(int(r.Reason()), i) // rules are found by index
		is.Equal(r.Reason().Entry(), r)
		text := r.Reason().String()
		is.True(word.MatchString(text))
		is.True(!seen[text])
		seen[text] = true
		parsed, ok := reason.Parse(text)
		is.True(ok)
		is.Equal(parsed, r.Reason())
		is.True(strings.HasSuffix(r.Doc(), "."))
		is.True(r.Outcome() != outcome.Done || r.Reason() == reason.None)
		is.True(r.Status() >= http.StatusBadRequest || r.Reason() == reason.None)
	}
	// The first value after the registry has no name; a reason that was added without an
	// entry would have one.
	is.True(!word.MatchString(reason.Reason(len(seen)).String()))
	_, ok := reason.Parse("absent")
	is.True(!ok)
}

// TestRetries guards against a retry reason that is not counted or not documented.
func TestRetries(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for i, r := range reason.Retries() {
		is.Equal(int(r), i)
		is.True(word.MatchString(r.String()))
		is.True(!seen[r.String()])
		seen[r.String()] = true
		is.True(strings.HasSuffix(r.Doc(), "."))
	}
	is.True(!word.MatchString(reason.Retry(len(seen)).String()))
}
