package edge_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// TestFewReaders guards against calls to the store that grow with the fleet: of 12 hosts 8 wait for
// changes, and the others learn of a new configuration and a new target all the same.
func TestFewReaders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const hostCount, readerCount = 12, 8
	s := newStore(t)
	s.PublishConfig(1)
	first, seed := startHost(t, s, "e0")
	hosts := []*testHost{first}
	for i := 1; i < hostCount; i++ {
		h, _ := startHost(t, s, "e"+strconv.Itoa(i), seed)
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		h.waitReady()
	}
	first.wait(func() bool { return s.Waiting() == readerCount })
	e := newEngine(t, "i-1", signed("ok"))
	s.Register(e, "plain", "ready")
	for i, h := range hosts {
		h.waitServed("/read/")
		status, _, _ := h.call(http.MethodGet, "/read/", "r"+strconv.Itoa(i), nil)
		is.Equal(status, http.StatusOK)
	}
	first.wait(func() bool { return s.Waiting() <= readerCount })
}
