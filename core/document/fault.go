package document

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Fault -linecomment

// Fault is the kind of a mistake. Its word names the counter of refused documents.
type Fault int

// The kinds of mistake, with their words in metrics.
const (
	// Syntax means that the bytes are not INI.
	Syntax Fault = iota // syntax
	// Size means that the document is larger than MaxBytes.
	Size // size
	// Section means that the section is unknown or has a wrong name.
	Section // section
	// Key means that the section has no such key.
	Key // key
	// Value means that the value is out of its range.
	Value // value
	// Missing means that a required key is absent.
	Missing // missing
	// Duplicate means that a section or key appears more than once.
	Duplicate // duplicate
	// Reference means that the value names nothing in the document.
	Reference // reference
)

// Faults returns all kinds of mistake.
func Faults() []Fault {
	return []Fault{Syntax, Size, Section, Key, Value, Missing, Duplicate, Reference}
}

// Doc returns the meaning of the kind.
func (f Fault) Doc() string {
	switch f {
	case Syntax:
		return "The bytes are not INI."
	case Size:
		return "The document is larger than the size limit."
	case Section:
		return "The section is unknown or has a wrong name."
	case Key:
		return "The section has no such key."
	case Value:
		return "The value is out of its range."
	case Missing:
		return "A required key is absent."
	case Duplicate:
		return "A section or key appears more than once."
	case Reference:
		return "The value names nothing in the document."
	default:
		return ""
	}
}
