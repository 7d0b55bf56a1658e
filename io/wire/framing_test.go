package wire_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/io/wire"
)

// TestReadWhole guards against a body that is taken for whole although only the end of the
// connection marks its end.
func TestReadWhole(t *testing.T) {
	for name, test := range map[string]struct {
		head, body string
		whole      bool
	}{
		"length":       {"Content-Length: 4\r\n", "body", true},
		"short length": {"Content-Length: 8\r\n", "body", false},
		"chunks":       {"Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", true},
		"no last one":  {"Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n", false},
		"close":        {"", "body", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+test.head+"\r\n"+test.body)), nil)
			is.NoErr(err)
			defer func() { _ = r.Body.Close() }()
			body, err := wire.ReadWhole(r, 100)
			is.Equal(err == nil, test.whole)
			if test.whole {
				is.Equal(string(body), "body")
			}
		})
	}
}

// TestReadWholeLimit guards against a body without end that fills the memory.
func TestReadWholeLimit(t *testing.T) {
	is := is.New(t)
	r := &http.Response{ContentLength: 100, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", 100)))}
	body, err := wire.ReadWhole(r, 10)
	is.NoErr(err)
	is.Equal(len(body), 10)
}
