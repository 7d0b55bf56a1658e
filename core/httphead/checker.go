package httphead

import "github.com/zeebo/errs"

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

// part is the part of a head to which the next byte belongs.
type part int

const (
	// version ends with the first space.
	version part = iota
	statusCode
	// afterStatus is the space or the line end after the status.
	afterStatus
	// line is the rest of the status line or of a field line.
	line
	// lineStart is the start of a field line or of the empty line that ends the head.
	lineStart
	// emptyLine is the rest of a line that began with a carriage return.
	emptyLine
	// done means that the head of the final response has ended.
	done
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
	for i, next := range b {
		if c.part == done {
			break
		}
		if err := c.checkByte(next); err != nil {
			return i, Error.Wrap(err)
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
			return errs.New("status with the character %q", b)
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
		if b != ' ' && b != '\r' && b != '\n' {
			return errs.New("status %d, then the character %q", c.status, b)
		}
		c.continueLine(b)
	case line:
		c.continueLine(b)
	case lineStart:
		switch b {
		case '\n':
			c.endHead()
		case '\r':
			c.part = emptyLine
		default:
			c.part = line
		}
	case emptyLine:
		if c.part = line; b == '\n' {
			c.endHead()
		}
	}
	return nil
}

// continueLine moves to the next line after a line feed.
func (c *Checker) continueLine(b byte) {
	if c.part = line; b == '\n' {
		c.part = lineStart
	}
}

// endHead ends the head of a response. Another one follows an informational response, except for that
// which switches the protocol.
func (c *Checker) endHead() {
	if c.part = done; c.status < minFinalStatus && c.status != switchingProtocols {
		c.part = version
	}
}
