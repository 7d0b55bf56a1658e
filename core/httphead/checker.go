package httphead

import (
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package. Each says that a response is malformed.
var Error = errs.Class("malformed response head")

// Statuses of a response (RFC 9110, section 15).
const (
	minStatus          = 100
	minFinalStatus     = 200
	maxStatus          = 599
	switchingProtocols = 101
	statusDigits       = 3
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=part -linecomment -output=part_string.go

// part is the part of a head to which the next byte belongs.
type part int

const (
	// version ends with the first space.
	version    part = iota // version
	statusCode             // status code
	// afterStatus is the space or the line end after the status code.
	afterStatus // end of the status code
	// text is the reason phrase or the value of a field.
	text // text
	// lineEnd is the line feed after the carriage return of a line.
	lineEnd // end of a line
	// lineStart is the first byte of a field line or of the empty line that ends the head.
	lineStart // start of a line
	// name is the rest of the name of a field, and the colon after it.
	name // name of a field
	// headEnd is the line feed of the empty line.
	headEnd // end of the head
	// done means that the head of the final response has ended.
	done // body
)

// Checker checks the head of one response, and of the informational responses before it. The zero value
// expects the first byte.
type Checker struct {
	part part
	// status has the value of the digits received so far, digits their number.
	status, digits int
}

// Done reports whether the head has ended.
func (c *Checker) Done() bool { return c.part == done }

// Check checks the next bytes that were received. Bytes after the head are not checked. If one is not
// allowed, it returns an error and the number of bytes before it.
func (c *Checker) Check(b []byte) (valid int, err error) {
	defer func() { err = Error.Wrap(err) }()
	for i, next := range b {
		if c.part == done {
			break
		}
		if err := c.checkByte(next); err != nil {
			return i, err
		}
	}
	return len(b), nil
}

// checkByte checks the next byte.
func (c *Checker) checkByte(b byte) error {
	switch c.part {
	case version:
		if b == ' ' {
			c.part, c.status, c.digits = statusCode, 0, 0
		}
	case statusCode:
		if b < '0' || b > '9' {
			return c.unexpected(b)
		}
		c.status = 10*c.status + int(b-'0')
		if c.digits++; c.digits < statusDigits {
			return nil
		}
		if c.status < minStatus || c.status > maxStatus {
			return errs.New("status %03d", c.status)
		}
		c.part = afterStatus
	case afterStatus:
		if b != ' ' && b != '\r' {
			return c.unexpected(b)
		}
		return c.checkText(b)
	case text:
		return c.checkText(b)
	case lineStart:
		// A line that begins with a blank was the continuation of the one before in older versions of
		// HTTP. A gateway may reject it (RFC 9112, section 5.2), and a reader that doesn't join the lines
		// finds another head.
		switch {
		case b == '\r':
			c.part = headEnd
		case !isTokenChar(b):
			return c.unexpected(b)
		default:
			c.part = name
		}
	case name:
		switch {
		case b == ':':
			c.part = text
		case !isTokenChar(b):
			return c.unexpected(b)
		}
	case lineEnd, headEnd:
		if b != '\n' {
			return c.unexpected(b)
		}
		if c.part == headEnd {
			c.endHead()
		} else {
			c.part = lineStart
		}
	}
	return nil
}

// checkText checks the next byte of a reason phrase or a value, or the carriage return after it. A line feed alone
// may end a line (RFC 9112, section 2.2), but whether its sender meant that can't be told.
func (c *Checker) checkText(b byte) error {
	c.part = text
	switch b {
	case '\r':
		c.part = lineEnd
	case '\n':
		return c.unexpected(b)
	}
	return nil
}

// unexpected returns the error of a byte that the current part of the head can't have.
func (c *Checker) unexpected(b byte) error { return errs.New("character %q in the %s", b, c.part) }

// isTokenChar reports whether a name may have the character (RFC 9110, section 5.6.2).
func isTokenChar(b byte) bool {
	return '0' <= b && b <= '9' || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// endHead ends the head of a response. Another one follows an informational response, except for that
// which switches the protocol.
func (c *Checker) endHead() {
	if c.part = done; c.status < minFinalStatus && c.status != switchingProtocols {
		c.part = version
	}
}
