package edge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/platform"
	"sassafrasward/platform/standin"
)

// startTrio starts three hosts that know each other, and waits until they serve and each reads the store.
func startTrio(t *testing.T, s *standin.Store) (hosts []*testHost) {
	t.Helper()
	first, seed := startHost(t, s, "e0")
	hosts = append(hosts, first)
	for i := 1; i < 3; i++ {
		h, _ := startHost(t, s, "e"+strconv.Itoa(i), seed)
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		h.waitServed("/read/")
	}
	first.wait(func() bool {
		return s.Waiting(platform.PrefixTargets) == len(hosts) && s.Waiting(platform.KeyConfig) == len(hosts)
	})
	return hosts
}

// extraRoute returns a route that only some versions of the configuration have.
func extraRoute(name string) string {
	return fmt.Sprintf(`{"name":%q,"host":"h.example","prefix":"/%s/","kind":"idempotent","timeoutMs":2000,"sloMs":300,"service":"plain","maxAttempts":2}`, name, name)
}

// TestConfigAfterRestore guards against a configuration that no host applies because the restored store gives it the
// revision of a lost one, and against a version in force that is replaced by the older one of the backup.
func TestConfigAfterRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	s.Register(newEngine(t, "i-1", signed("ok")), "plain", "ready")
	hosts := startTrio(t, s)
	backup := s.Backup()
	s.PublishConfig(2)
	for i := range 3 {
		s.Put("servers/other", strconv.Itoa(i)) // lost, and not written again
	}
	s.PublishConfig(3, extraRoute("third"))
	for _, h := range hosts {
		h.waitServed("/third/")
	}
	time.Sleep(2 * time.Second) // each host has read this version itself
	s.Restore(backup)
	time.Sleep(500 * time.Millisecond) // the hosts have read the version of the backup
	for i, h := range hosts {
		status, _, _ := h.call(http.MethodGet, "/third/", "r"+strconv.Itoa(i), nil)
		is.Equal(status, http.StatusOK)
	}
	s.PublishConfig(4, extraRoute("fourth"))
	for _, h := range hosts {
		h.waitServed("/fourth/")
	}
}
