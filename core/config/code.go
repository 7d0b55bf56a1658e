package config

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Code -linecomment

// Code is the kind of a validation error. Its text is part of the name of the metric that
// counts refused documents.
type Code int

// The kinds of validation errors. The line comments are the texts in metric names.
const (
	// InvalidSyntax means that the bytes are not valid INI.
	InvalidSyntax Code = iota // syntax
	// TooLarge means that the document is larger than MaxBytes.
	TooLarge // size
	// UnknownSection means that the kind of the section is unknown or its name is malformed.
	UnknownSection // section
	// UnknownKey means that sections of this kind have no such key.
	UnknownKey // key
	// InvalidValue means that the value is malformed or out of range.
	InvalidValue // value
	// MissingKey means that a required key is absent.
	MissingKey // missing
	// DuplicateName means that a section or key appears more than once.
	DuplicateName // duplicate
	// UnresolvedReference means that the value names a section that the document does not
	// contain, or repeats a name.
	UnresolvedReference // reference
)

// Codes returns all kinds of validation errors.
func Codes() []Code {
	return []Code{InvalidSyntax, TooLarge, UnknownSection, UnknownKey, InvalidValue, MissingKey, DuplicateName, UnresolvedReference}
}

// Doc returns the description of the code for the reference documentation.
func (c Code) Doc() string {
	switch c {
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
