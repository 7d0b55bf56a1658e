package config

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Code -linecomment

// Code is the kind of a mistake. Its word names the counter of refused documents.
type Code int

// The kinds of mistake, with their words in metrics.
const (
	// Syntax means that the bytes are not INI.
	InvalidSyntax Code = iota // syntax
	// Size means that the document is larger than MaxBytes.
	TooLarge // size
	// Section means that the section is unknown or has a wrong name.
	UnknownSection // section
	// Key means that the section has no such key.
	UnknownKey // key
	// Value means that the value is out of its range.
	InvalidValue // value
	// Missing means that a required key is absent.
	MissingKey // missing
	// Duplicate means that a section or key appears more than once.
	DuplicateName // duplicate
	// Reference means that the value names nothing in the document.
	UnresolvedReference // reference
)

// Faults returns all kinds of mistake.
func Codes() []Code {
	return []Code{InvalidSyntax, TooLarge, UnknownSection, UnknownKey, InvalidValue, MissingKey, DuplicateName, UnresolvedReference}
}

// Doc returns the meaning of the kind.
func (f Code) Doc() string {
	switch f {
	case InvalidSyntax:
		return "The bytes are not INI."
	case TooLarge:
		return "The document is larger than the size limit."
	case UnknownSection:
		return "The section is unknown or has a wrong name."
	case UnknownKey:
		return "The section has no such key."
	case InvalidValue:
		return "The value is out of its range."
	case MissingKey:
		return "A required key is absent."
	case DuplicateName:
		return "A section or key appears more than once."
	case UnresolvedReference:
		return "The value names nothing in the document."
	default:
		return ""
	}
}
