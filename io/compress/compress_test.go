package compress_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/io/compress"
)

// TestDecode guards against a message that comes back otherwise, and against one that takes more memory than
// allowed or is truncated.
func TestDecode(t *testing.T) {
	const maxBytes = 1 << 20
	for name, size := range map[string]int{"empty": 0, "small": 100, "maximum": maxBytes, "too large": maxBytes + 1, "huge": 8 * maxBytes} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw := bytes.Repeat([]byte("a"), size)
			packed, err := compress.Encode(raw)
			is.NoErr(err)
			got, err := compress.Decode(packed, maxBytes)
			is.Equal(err == nil, size <= maxBytes)
			is.True(err != nil || bytes.Equal(got, raw))
			for cut := 1; cut < len(packed); cut += 1 + len(packed)/20 {
				_, err := compress.Decode(packed[:cut], maxBytes)
				is.True(err != nil)
			}
		})
	}
	_, err := compress.Decode([]byte("not compressed"), maxBytes)
	is.New(t).True(err != nil)
}
