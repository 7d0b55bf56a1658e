package diagnostic

import (
	"fmt"
	"strings"
)

// List is an error that holds all mistakes of an input in the order of their discovery.
type List[M fmt.Stringer] []M

// Error returns all mistakes, one a line.
func (l List[M]) Error() string {
	lines := make([]string, len(l))
	for i, one := range l {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}
