package httphead_test

import (
	"testing"

	"github.com/matryer/is"

	"sassafrasward/core/httphead"
)

// TestChecker guards against malformed heads that are accepted, sound ones that are not, and bodies that
// are taken for heads, however the bytes are divided.
func TestChecker(t *testing.T) {
	const fields = "X-Request-Id: r1\r\nEmpty:\r\nContent-Length: 3\r\n\r\n"
	for _, test := range []struct {
		name, head string
		// valid is the number of bytes before the first malformed one, -1 if there is none.
		valid int
		rest  string
	}{
		{"sound", "HTTP/1.1 200 OK\r\n" + fields, -1, "a b: c\n"},
		{"no reason", "HTTP/1.1 204\r\n\r\n", -1, ""},
		{"empty reason", "HTTP/1.1 599 \r\n" + fields, -1, ""},
		{"informational", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + fields, -1, "HTTP/1.1 000 \r\n\r\n"},
		{"switching protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", -1, "a b: c\n"},
		{"status 000", "HTTP/1.1 000 OK\r\n" + fields, 11, ""},
		{"status 099", "HTTP/1.1 099 OK\r\n" + fields, 11, ""},
		{"status 600", "HTTP/1.1 600 OK\r\n" + fields, 11, ""},
		{"status +20", "HTTP/1.1 +20 OK\r\n" + fields, 9, ""},
		{"status of two digits", "HTTP/1.1 20 OK\r\n" + fields, 11, ""},
		{"status of four digits", "HTTP/1.1 2000 OK\r\n" + fields, 12, ""},
		{"informational, then 000", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n", 36, ""},
		{"all characters of names", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: \t v\x80: \r\n\r\n", -1, ""},
		{"space in a name", "HTTP/1.1 200 OK\r\nX Bad: v\r\n\r\n", 18, ""},
		{"space after a name", "HTTP/1.1 200 OK\r\nX : v\r\n\r\n", 18, ""},
		{"space before the first name", "HTTP/1.1 200 OK\r\n X: v\r\n\r\n", 17, ""},
		{"space before another name", "HTTP/1.1 200 OK\r\nX: v\r\n X: v\r\n\r\n", 23, ""},
		{"tab before another name", "HTTP/1.1 200 OK\r\nX: v\r\n\tX: v\r\n\r\n", 23, ""},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01: v\r\n\r\n", 18, ""},
		{"byte above 127 in a name", "HTTP/1.1 200 OK\r\nX\x80: v\r\n\r\n", 18, ""},
		{"empty name", "HTTP/1.1 200 OK\r\n: v\r\n\r\n", 17, ""},
		{"name without a value", "HTTP/1.1 200 OK\r\nX\r\n\r\n", 18, ""},
		{"CR in a line", "HTTP/1.1 200 OK\r\nX: v\rY: v\r\n\r\n", 22, ""},
		{"CR before a name", "HTTP/1.1 200 OK\r\n\rX: v\r\n\r\n", 18, ""},
		{"LF before a name", "HTTP/1.1 200 OK\r\nX: v\r\n\nX: v\r\n\r\n", 23, ""},
		{"LF in a line", "HTTP/1.1 200 OK\r\nX: v\nY: v\r\n\r\n", 21, ""},
		{"LF after the status", "HTTP/1.1 200\nX: v\r\n\r\n", 12, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			for size := 1; size <= len(test.head)+len(test.rest); size++ {
				is := is.New(t)
				received := []byte(test.head + test.rest)
				var c httphead.Checker
				checked, failed := 0, false
				for from := 0; from < len(received) && !failed; from += size {
					valid, err := c.Check(received[from:min(from+size, len(received))])
					checked, failed = checked+valid, err != nil
				}
				is.Equal(failed, test.valid >= 0)
				is.Equal(c.Done(), test.valid < 0)
				if failed {
					is.Equal(checked, test.valid)
				}
			}
		})
	}
}
