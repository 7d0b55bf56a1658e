package diagnostic

import (
	"fmt"
	"strings"
)

// List is an error that holds the diagnostics of an input in the order of their discovery.
type List[D fmt.Stringer] []D

// Error returns all diagnostics, one per line.
func (l List[D]) Error() string {
	lines := make([]string, len(l))
	for i, d := range l {
		lines[i] = d.String()
	}
	return strings.Join(lines, "\n")
}
