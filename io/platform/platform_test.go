package platform_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"sassafrasward/io/loopback"
	"sassafrasward/io/platform"
)

// TestTruncatedDocument guards against a configuration that takes effect without its last lines,
// because the service closed the connection in the middle of an answer that states no length.
func TestTruncatedDocument(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nConfig-Version: 3\r\n\r\n[document]\npreset = ordinary\n[preset ordinary]\n")
		_ = buffered.Flush()
		_ = conn.Close()
	}))
	defer s.Close()
	_, changed, err := platform.New(strings.TrimPrefix(s.URL, "http://"), metrics.NewCounter()).Config(context.Background(), 1, 0)
	is.True(err != nil)
	is.True(!changed)
}

// TestMalformedHead guards against a configuration from an answer whose head is malformed.
func TestMalformedHead(t *testing.T) {
	is := is.New(t)
	address := loopback.ServeBytes(t, "HTTP/1.1 200 OK\r\nConfig-Version: 3\r\nX Bad: v\r\nContent-Length: 11\r\n\r\n[document]\n")
	_, changed, err := platform.New(address, metrics.NewCounter()).Config(context.Background(), 1, 0)
	is.True(err != nil)
	is.True(!changed)
}

// TestWholeDocument guards against the refusal of a document with a length.
func TestWholeDocument(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Config-Version", "3")
		_, _ = io.WriteString(w, "[document]\n")
	}))
	defer s.Close()
	cfg, changed, err := platform.New(strings.TrimPrefix(s.URL, "http://"), metrics.NewCounter()).Config(context.Background(), 1, 0)
	is.NoErr(err)
	is.True(changed)
	is.Equal(string(cfg.Raw()), "[document]\n")
}
