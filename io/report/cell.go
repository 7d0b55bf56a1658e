package report

import "fmt"

// width is the width of a stated outcome in a comparison.
const width = 24

func pad(text string) string { return fmt.Sprintf("%*s", width, text) }

// cell returns the measured value, marked if the outcome was missed.
func cell(v ObjectiveResult) string {
	mark := ""
	if !v.Met() {
		mark = "missed "
	}
	return pad(fmt.Sprintf("%s%.3f", mark, v.value))
}
