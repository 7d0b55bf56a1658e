package integration_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/platform/standin"
)

// TestLargeBodies guards against request bodies within the published limit, many at a time, that take a host
// over its memory, so that all its requests are lost. They come with a length or in chunks.
func TestLargeBodies(t *testing.T) {
	const (
		maxBody = 4 << 20
		callers = 100
	)
	for name, chunked := range map[string]bool{"length": false, "chunks": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := standin.NewStore()
			t.Cleanup(store.Close)
			store.SetMaxBody(maxBody)
			store.PublishConfig(1, slowRoutes...)
			received := make(map[string]int)
			var mutex sync.Mutex
			plain := standin.NewTarget("i-1", func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/hold/") {
					time.Sleep(400 * time.Millisecond)
				}
				standin.Sign(w)
			})
			t.Cleanup(plain.Stop)
			model := standin.NewTarget("i-2", func(w http.ResponseWriter, r *http.Request) {
				standin.Sign(w)
				w.Header().Set("Content-Type", "text/event-stream")
				for i := range 10 {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", i+1)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(200 * time.Millisecond)
				}
			})
			t.Cleanup(model.Stop)
			store.Register(plain, "plain", "ready")
			store.Register(model, "model", "ready")
			h := startOddHost(t, store)
			h.plain, h.models = plain, model
			h.waitServed("/read/", "warm")
			h.waitServed("/chat/", "stream")
			body := bytes.Repeat([]byte("x"), maxBody)
			statuses := make(map[int]int)
			var senders sync.WaitGroup
			for n := range callers {
				senders.Go(func() {
					path := []string{"/hold/", "/long/"}[n%2]
					id := fmt.Sprintf("large%d", n)
					status := h.sendBody(path, id, body, chunked)
					mutex.Lock()
					defer mutex.Unlock()
					statuses[status]++
					if status == http.StatusServiceUnavailable && h.passedOn(id) {
						received[id]++
					}
				})
			}
			for n := range 20 {
				is.Equal(h.send("/wait/", fmt.Sprintf("small%d", n)).status, http.StatusOK) // however slow the target is
				time.Sleep(20 * time.Millisecond)
			}
			senders.Wait()
			peak := h.peakMemory()
			t.Logf("%v, peak memory %d MB", statuses, peak/1_000_000)
			is.Equal(len(received), 0) // a refusal is true
			is.Equal(statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], callers)
			is.True(statuses[http.StatusOK] >= 20)
			is.True(peak < memoryLimit)
		})
	}
}

// sendBody sends a request with a body and returns the status, 0 without a complete response.
func (h *edgeHost) sendBody(path, id string, body []byte, chunked bool) (status int) {
	h.t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+h.caller+path, bytes.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	if chunked {
		r.ContentLength = -1
	}
	standin.SetHeaders(r, id)
	standin.SetTimeout(r, 30*time.Second)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
