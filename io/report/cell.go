package report

import "fmt"

// objectiveWidth is the column width of an objective in a comparison, in characters.
const objectiveWidth = 24

func pad(text string) string { return fmt.Sprintf("%*s", objectiveWidth, text) }

// objectiveCell returns the measured value, marked if the objective was missed.
func objectiveCell(r ObjectiveResult) string {
	mark := ""
	if !r.Met() {
		mark = "missed "
	}
	return pad(fmt.Sprintf("%s%.3f", mark, r.value))
}
