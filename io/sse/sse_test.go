package sse_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/io/sse"
)

const limit = 256 // bytes

// TestUntil guards against a broken stream that is taken for a complete one, and against
// tokens that are lost or taken from other events.
func TestReadUntil(t *testing.T) {
	for name, c := range map[string]struct {
		body   string
		tokens string
		end    string
		cut    bool
		failed bool
	}{
		"whole":           {body: "event: token\ndata: 1\n\nevent: end\ndata: 2\n\n", tokens: "1", end: "2"},
		"carriage return": {body: "event: token\r\ndata: 1\r\n\r\nevent: end\r\ndata: 2\r\n\r\n", tokens: "1", end: "2"},
		"comments":        {body: ": ping\n\nevent: token\n: x\ndata: 1\n\nevent: end\ndata: 2\n\n", tokens: "1", end: "2"},
		"two data lines":  {body: "event: end\ndata: [\ndata: ]\n\n", end: "[\n]"},
		"unnamed":         {body: "data: 1\n\nevent: end\ndata: 2\n\n", end: "2"},
		"name not kept":   {body: "event: token\ndata: 1\n\ndata: 9\n\nevent: end\ndata: 2\n\n", tokens: "1", end: "2"},
		"cut in end":      {body: "event: token\ndata: 1\n\nevent: end\ndata: 2\n", tokens: "1", cut: true, failed: true},
		"no end":          {body: "event: token\ndata: 1\n\n", tokens: "1", cut: true, failed: true},
		"empty":           {cut: true, failed: true},
		"long line":       {body: "event: end\ndata: " + strings.Repeat("x", limit) + "\n\n", failed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tokens := ""
			end, err := sse.ReadUntil(strings.NewReader(c.body), limit, "token", "end", func(d []byte) error {
				tokens += string(d)
				return nil
			})
			is.Equal(tokens, c.tokens)
			is.Equal(string(end), c.end)
			is.Equal(err != nil, c.failed)
			is.Equal(errors.Is(err, sse.ErrTruncated), c.cut)
		})
	}
}

// FuzzRead guards against a reader that panics, and against written events that are read
// back with another name or other data.
func FuzzRead(f *testing.F) {
	f.Add([]byte("event: token\ndata: {}\n\nevent: end\ndata: {}\n\n"), "text")
	f.Add([]byte("data\n\n:\n\r\n"), "\n\x00")
	f.Fuzz(func(t *testing.T, body []byte, text string) {
		for e, err := range sse.Read(bytes.NewReader(body), limit) {
			if err == nil && strings.Contains(e.Name(), "\n") {
				t.Fatalf("name %q has a line break", e.Name())
			}
		}
		var out bytes.Buffer
		if err := sse.Write(&out, "token", text); err != nil {
			t.Fatal(err)
		}
		n := 0
		for e, err := range sse.Read(&out, 64<<10+8*len(text)) {
			if n++; err != nil || e.Name() != "token" {
				t.Fatalf("%v %v", e, err)
			}
		}
		if n != 1 {
			t.Fatalf("%d events for one", n)
		}
	})
}
