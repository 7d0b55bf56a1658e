package configcheck

import (
	"encoding/json"
	"fmt"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Severity -linecomment

// Severity says how bad a finding is.
type Severity int

// The severities.
const (
	// Warning marks what has no effect or is unlikely to be meant.
	Warning Severity = iota // warning
	// Error marks what must not be published.
	Error // error
)

// Finding is one mistake in a configuration.
type Finding struct {
	severity Severity
	// place is the entry and the field, such as routes[2] "reports", timeout.
	place   string
	message string
}

// NewError returns a finding that must not be published.
func NewError(place, format string, values ...any) Finding {
	return Finding{severity: Error, place: place, message: fmt.Sprintf(format, values...)}
}

func newWarning(place, format string, values ...any) Finding {
	return Finding{severity: Warning, place: place, message: fmt.Sprintf(format, values...)}
}

// Severity returns how bad the finding is.
func (f Finding) Severity() Severity { return f.severity }

// Place returns the entry and the field of the finding.
func (f Finding) Place() string { return f.place }

// Message returns what is wrong.
func (f Finding) Message() string { return f.message }

// String returns the finding on one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.severity, f.place, f.message) }

// MarshalJSON implements json.Marshaler.
func (f Finding) MarshalJSON() (raw []byte, err error) {
	return json.Marshal(map[string]string{"severity": f.severity.String(), "place": f.place, "message": f.message})
}
