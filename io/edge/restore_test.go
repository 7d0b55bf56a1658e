package edge_test

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/platform"
	"sassafrasward/platform/standin"
)

// startFew starts hosts that know each other and waits until they serve.
func startFew(t *testing.T, s *standin.Store, count int) (hosts []*testHost) {
	t.Helper()
	hosts, _ = startFleet(t, s, count)
	for _, h := range hosts {
		h.waitServed("/read/")
	}
	return hosts
}

// startTrio starts three hosts that know each other, and waits until they serve and each reads the store.
func startTrio(t *testing.T, s *standin.Store) (hosts []*testHost) {
	t.Helper()
	hosts = startFew(t, s, 3)
	hosts[0].wait(func() bool {
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

// answerers returns the bodies of several answers of each host to requests under /read/.
func answerers(hosts []*testHost) (bodies map[string]bool) {
	bodies = make(map[string]bool)
	for _, h := range hosts {
		for range 12 {
			_, body, _ := h.call(http.MethodGet, "/read/", "r"+strconv.FormatInt(time.Now().UnixNano(), 10), nil)
			bodies[body] = true
		}
	}
	return bodies
}

// TestRemovalAfterRestore guards against a removal that hosts miss for good because the store was restored before, also
// where its revisions have passed those of before.
func TestRemovalAfterRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	kept := newEngine(t, "i-1", signed("kept"))
	s.Register(kept, "plain", "ready")
	s.Register(newEngine(t, "i-2", signed("removed")), "plain", "ready")
	hosts := startTrio(t, s)
	backup := s.Backup()
	for range 3 { // lost, and written again as one change
		s.Put("servers/other", "{}")
	}
	time.Sleep(time.Second)
	s.Restore(backup)
	s.Put("servers/other", "{}")
	time.Sleep(2 * time.Second) // restored targets stay in use for a moment
	s.Put("servers/i-2", "")
	for range 5 {
		s.Put("servers/other", "{}")
	}
	hosts[0].wait(func() bool { return maps.Equal(answerers(hosts), map[string]bool{"kept": true}) })
	is.Equal(len(answerers(hosts)), 1)
}

// TestBackupFromBefore guards against requests to targets that left, or whose zone was evacuated, after the backup was
// made from which the store was restored, and against the loss of a target that has come since.
func TestBackupFromBefore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore(t)
	s.PublishConfig(1)
	engines := make(map[string]*standin.Target)
	for _, name := range []string{"kept", "draining", "removed", "evacuated", "new"} {
		engines[name] = newEngine(t, "i-"+name, signed(name))
	}
	s.Register(engines["kept"], "plain", "ready")
	s.Register(engines["draining"], "plain", "ready")
	s.Register(engines["removed"], "plain", "ready")
	s.RegisterIn(engines["evacuated"], "b", "plain")
	var hosts []*testHost
	var peers []string
	for i := range 3 {
		h, _ := startEvacuable(t, s, "e"+strconv.Itoa(i), peers...)
		hosts, peers = append(hosts, h), append(peers, h.peer)
		h.waitServed("/read/")
	}
	backup := s.Backup()
	s.Register(engines["new"], "plain", "ready")
	s.Register(engines["draining"], "plain", "draining")
	s.Put("servers/i-removed", "")
	s.Put(platform.PrefixEvacuations+"b", "{}")
	left := map[string]bool{"kept": true, "new": true}
	hosts[0].wait(func() bool { return maps.Equal(answerers(hosts), left) })
	time.Sleep(4 * time.Second) // each host has read the store itself
	s.Restore(backup)
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); {
		is.Equal(answerers(hosts), left)
	}
	s.Register(engines["new"], "plain", "ready") // what was lost is written again
	s.Register(engines["draining"], "plain", "draining")
	s.Put("servers/i-removed", "")
	s.Put(platform.PrefixEvacuations+"b", "{}")
	for deadline := time.Now().Add(7 * time.Second); time.Now().Before(deadline); {
		is.Equal(answerers(hosts), left)
	}
}

// TestReadsAfterRestore guards against a fleet whose hosts all list the store at once when it was restored: those that
// follow others learn of it from them.
func TestReadsAfterRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const hostCount, readerCount = 12, 8
	s := newStore(t)
	s.PublishConfig(1)
	s.Register(newEngine(t, "i-1", signed("before")), "plain", "ready")
	hosts := startFew(t, s, hostCount)
	hosts[0].wait(func() bool { return s.Waiting(platform.PrefixTargets) == readerCount })
	backup := s.Backup()
	s.Put("servers/other", "{}")
	time.Sleep(2 * time.Second)
	lists := s.Lists()
	s.Restore(backup)
	s.Register(newEngine(t, "i-2", signed("after")), "plain", "ready")
	s.Put("servers/i-1", "")
	hosts[0].wait(func() bool { return maps.Equal(answerers(hosts), map[string]bool{"after": true}) })
	is.Equal(s.Lists()-lists, readerCount)
}
