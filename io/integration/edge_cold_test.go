package integration_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"sassafrasward/io/loopback"
	"sassafrasward/platform/standin"
)

// The slow starts of these tests: the published values of the deployments, with a longer cold time.
const (
	coldHosts   = 4
	coldRate    = 9.7
	coldTime    = 9 * time.Second
	coldBound   = 19 // requests in a second: 1.5 times the rate plus 5
	settledTime = 3500 * time.Millisecond
)

// coldFleet is a fleet of processes, and a target that is cold.
type coldFleet struct {
	t        *testing.T
	callers  []string
	settings []string
	hosts    []*process
	target   *standin.Target
	load     sync.WaitGroup
	stop     chan struct{}
	// began is when the target became cold.
	began time.Time
}

// startColdFleet starts hosts, waits until they have settled, and makes a target cold under a load of more than
// it takes.
func startColdFleet(t *testing.T) (f *coldFleet) {
	t.Helper()
	f = &coldFleet{t: t, stop: make(chan struct{})}
	store := standin.NewStore()
	t.Cleanup(store.Close)
	store.SetSlowStart(coldTime, coldRate)
	store.PublishConfig(1)
	first := loopback.FreeAddress()
	for i := range coldHosts {
		peer, seeds := first, ""
		if i > 0 {
			peer, seeds = loopback.FreeAddress(), "seeds = "+first+"\n"
		}
		f.callers = append(f.callers, loopback.FreeAddress())
		path := filepath.Join(t.TempDir(), fmt.Sprintf("host%d.ini", i))
		text := fmt.Sprintf("[host]\nname = e%d\nzone = a\ncaller = %s\npeer = %s\n[edge]\ncoldfactor = 1.5\ncoldslack = 5\n[platform]\naddress = %s\n[join]\nmode = alone\n%s",
			i, f.callers[i], peer, store.Address(), seeds)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		f.settings = append(f.settings, path)
		f.hosts = append(f.hosts, startProcess(t, "sassafrasward", "edge", "--settings", path))
	}
	time.Sleep(settledTime)
	f.target = standin.NewTarget("i-1", func(w http.ResponseWriter, _ *http.Request) { standin.Sign(w) })
	t.Cleanup(f.target.Stop)
	f.began = time.Now()
	store.RegisterCold(f.target, "plain", coldTime)
	f.load.Go(f.send)
	t.Cleanup(func() {
		close(f.stop)
		f.load.Wait()
	})
	return f
}

// send sends requests to all hosts in turn.
func (f *coldFleet) send() {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(12 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
		f.load.Go(func() {
			r, err := http.NewRequest(http.MethodGet, "http://"+f.callers[n%coldHosts]+"/read/", nil)
			if err != nil {
				return
			}
			standin.SetHeaders(r, fmt.Sprintf("r%d", n))
			if response, err := client.Do(r); err == nil {
				_ = response.Body.Close()
			}
		})
	}
}

// check waits for the end of the cold time, and fails the test if the target got more requests in a second than the
// bound, or hardly any.
func (f *coldFleet) check() {
	f.t.Helper()
	time.Sleep(time.Until(f.began.Add(coldTime)))
	var times []time.Time
	for _, r := range f.target.Received() {
		if r.At.Before(f.began.Add(coldTime)) {
			times = append(times, r.At)
		}
	}
	most := 0
	for i, first := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	f.t.Logf("at most %d requests in a second, %d in %v", most, len(times), coldTime)
	if most > coldBound {
		f.t.Errorf("%d requests in a second, more than %d", most, coldBound)
	}
	if float64(len(times)) < coldRate/2*coldTime.Seconds() {
		f.t.Errorf("the target got %d requests in %v only", len(times), coldTime)
	}
}

// TestColdTargetAndRestartedHost guards against a host that was killed and sends to a cold target as soon as it is
// back, when it doesn't know yet what the others send.
func TestColdTargetAndRestartedHost(t *testing.T) {
	f := startColdFleet(t)
	time.Sleep(time.Second)
	f.hosts[1].kill()
	f.hosts[1] = startProcess(t, "sassafrasward", "edge", "--settings", f.settings[1])
	time.Sleep(time.Second)
	f.hosts[0].kill() // the seed of the others
	f.hosts[0] = startProcess(t, "sassafrasward", "edge", "--settings", f.settings[0])
	f.check()
}

// TestColdTargetAndPausedHost guards against a host that was paused and sends what had waited to a cold target at
// once when it goes on, with a view of the fleet from before.
func TestColdTargetAndPausedHost(t *testing.T) {
	f := startColdFleet(t)
	for i := range 3 {
		time.Sleep(300 * time.Millisecond)
		f.hosts[i].signal(syscall.SIGSTOP)
		time.Sleep(1700 * time.Millisecond)
		f.hosts[i].signal(syscall.SIGCONT)
	}
	f.check()
}
