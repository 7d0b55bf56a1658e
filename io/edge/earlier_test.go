package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/platform"
	"sassafrasward/platform/standin"
)

// TestAnswerToEarlierCall guards against stage calls that take an answer which their target writes once
// more on a kept connection for their own: pieces would count as refused while they run, or get the
// results of other pieces.
func TestAnswerToEarlierCall(t *testing.T) {
	t.Parallel()
	for name, again := range map[string]func(earlier string) string{
		"refusal": func(string) string { return framed(503, "length", "", notExecuted) },
		"results": func(earlier string) string { return earlier },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newStore(t)
			s.PublishConfig(1)
			model := newEngine(t, "i-2", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2, true) })
			var ran atomic.Int64
			var earlier atomic.Value
			earlier.Store("")
			pieces := newEngine(t, "i-1", nil)
			e := newRawEngine(t, "i-1", func(w io.Writer, r *http.Request, number int) bool {
				if r.URL.Path != platform.PathRun {
					_, _ = io.WriteString(w, framed(200, "length", ""))
					return true
				}
				// One piece in each call, see SetPieceCounts below.
				answer := framed(200, "length", fmt.Sprintf(`{"items":[{"handle":"%s/h%d"}]}`, pieces.Address(), ran.Add(1)))
				before := earlier.Swap(answer).(string)
				if number == 0 {
					_, _ = io.WriteString(w, answer)
					return true
				}
				_, _ = io.WriteString(w, again(before)+answer)
				return true
			})
			s.RegisterAt(pieces, e.address, "pieces", "ready")
			s.Register(model, "model", "ready")
			host, _ := startHost(t, s, "e1")
			host.waitReady()
			served := 0
			host.wait(func() bool {
				before := ran.Load()
				status, _, _ := host.call(http.MethodPost, "/talk/", fmt.Sprintf("s%d", served), func(r *http.Request) { standin.SetPieceCounts(r, 1, 1) })
				if status != http.StatusOK {
					is.Equal(ran.Load(), before) // refused only if no piece has run
					return false
				}
				served++
				// The model reads the result of the last call, and no piece ran twice.
				is.Equal(model.LastRequest().Header.Get("X-Inputs"), fmt.Sprintf("%s/h%d", pieces.Address(), ran.Load()))
				is.Equal(ran.Load(), before+2)
				return served == 5
			})
		})
	}
}
