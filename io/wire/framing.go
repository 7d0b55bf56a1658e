package wire

import (
	"errors"
	"io"
	"net/http"
)

// ErrUnframed is returned by ReadWhole for a body whose end only the end of the connection marks.
var ErrUnframed = errors.New("the answer has neither a length nor chunks, so that it may be truncated")

// ReadWhole reads the body of an answer, up to limit bytes. It fails if the body is truncated, or if
// that can't be told. Documents in INI need this: one that lacks its last lines is still valid.
func ReadWhole(r *http.Response, limit int64) (body []byte, err error) {
	// A body that was compressed on the way ends with its own checksum.
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed {
		return nil, ErrUnframed
	}
	return io.ReadAll(io.LimitReader(r.Body, limit))
}
