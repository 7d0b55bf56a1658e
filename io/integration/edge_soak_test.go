package integration_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasward/io/loopback"
	"sassafrasward/platform/standin"
)

// faultTime is how long one seed injects faults.
const faultTime = 6 * time.Second

// regressionSeeds are the seeds that have failed before, each with its cause.
var regressionSeeds = []uint64{
	2, // a connection of another test took the port of a host before the host listened
	// After two closed connections, requests that had been served before were refused as crash
	// suspects.
	202, 204, 206, 211, 236,
}

// TestEdgeSoak runs edge hosts as separate processes, injects overlapping faults from outside,
// and checks the guarantees against what callers and engines see: commands run at most once, a
// request answered as not run has not run, answers are complete and belong to their request,
// the hosts serve again once the faults end, and they then follow what is written to the store, which was restored from
// backups meanwhile. SOAK_SEEDS sets the number of seeds beginning
// with SOAK_FIRST, and SOAK_HOSTS the number of hosts.
func TestEdgeSoak(t *testing.T) {
	first, count := envUint("SOAK_FIRST", 1), envUint("SOAK_SEEDS", 2)
	seeds := append([]uint64(nil), regressionSeeds...)
	for i := range count {
		if seed := first + i; !slices.Contains(regressionSeeds, seed) {
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

func envUint(name string, fallback uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// soak is the run of one seed: a metadata store, engines and hosts behind proxies, and
// callers.
type soak struct {
	t      *testing.T
	random *rand.Rand
	// statements draws what engines state about themselves. It is separate, so that the faults of the
	// regression seeds stay as they were.
	statements *rand.Rand
	// restores draws when the store is restored from a backup, for the same reason.
	restores *rand.Rand
	seed     uint64
	store    *standin.Store
	// backup is the last backup of the store. rewriteAt is when what a restore has lost is written again, zero if
	// nothing was lost.
	backup    standin.Backup
	rewriteAt time.Time
	// version is the newest version of the configuration, firstState the published state of the first engine.
	version    int
	firstState string
	// proxies lead to the store (index 0) and the engines.
	proxies []*proxy
	engines []*standin.Target
	hosts   []*soakHost

	mutex sync.Mutex
	// runs counts how often engines began to run a request, by request id.
	runs map[string]int
	// responses has the status code of each request by its id, or "cut" without a complete
	// response.
	responses map[string]string
	// injected lists the injected faults in order.
	injected []string
	served   int
}

// soakHost is one host. It is restarted after it was stopped or killed.
type soakHost struct {
	name, settings, caller, peer string
	process                      *process
	// paused is true while the process is stopped by SIGSTOP.
	paused bool
}

const (
	// defaultSoakHosts is the number of hosts without SOAK_HOSTS.
	defaultSoakHosts = 3
	// leaveBound is the time after which a leaving engine must get no new work, with a second for a busy machine.
	leaveBound = 3 * time.Second
	// joinSeeds is the largest number of seed addresses through which a host joins the fleet.
	joinSeeds = 3
)

// enginePools has the pools of the engines.
var enginePools = []string{"plain", "plain", "model", "model", "pieces", "pieces"}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), statements: rand.New(rand.NewPCG(seed, 8)), store: standin.NewStore(),
		restores: rand.New(rand.NewPCG(seed, 9)), firstState: "ready",
		runs: make(map[string]int), responses: make(map[string]string),
	}
	t.Cleanup(s.store.Close)
	storeProxy := newProxy(t, s.store.Address())
	s.proxies = append(s.proxies, storeProxy)
	for i := range enginePools {
		e := standin.NewTarget(fmt.Sprintf("i-%d", i), s.serveEngine)
		t.Cleanup(e.Stop)
		engineProxy := newProxy(t, e.Address())
		s.engines, s.proxies = append(s.engines, e), append(s.proxies, engineProxy)
	}
	s.publish(1)
	s.registerAll()
	s.backup = s.store.Backup()
	var seeds []string
	for i := range envUint("SOAK_HOSTS", defaultSoakHosts) {
		h := &soakHost{name: fmt.Sprintf("e%d", i), caller: loopback.FreeAddress(), peer: loopback.FreeAddress()}
		seeds = append(seeds, h.peer)
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		h.settings = filepath.Join(t.TempDir(), h.name+".ini")
		text := fmt.Sprintf("[host]\nname = %s\nzone = a\ncaller = %s\npeer = %s\n[edge]\ngrace = 4\n[platform]\naddress = %s\n[join]\nmode = alone\nseeds = %s\n",
			h.name, h.caller, h.peer, storeProxy.address(), strings.Join(seeds[:min(len(seeds), joinSeeds)], ","))
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		h.process = startProcess(t, "sassafrasward", "edge", "--settings", h.settings)
	}
	return s
}

// serveEngine runs a request and counts the run. The response contains the request id, so that
// a response to the wrong request is detected. Of the streams an eighth has neither a length nor
// chunks, and another one breaks off inside an event.
func (s *soak) serveEngine(w http.ResponseWriter, r *http.Request) {
	id := standin.ReceivedRequest{Request: r}.ID()
	s.mutex.Lock()
	s.runs[id]++
	s.mutex.Unlock()
	standin.Sign(w)
	if !isStream(r.URL.Path) {
		_, _ = io.WriteString(w, "answer of "+id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	switch sum := xxhash.Sum64String(id) % 8; {
	case sum == 0:
		s.serveUntilClose(w, id, from, 5, "")
		return
	case sum == 1 && from == 0:
		s.serveUntilClose(w, id, from, 2, "id: 3\ndata: "+id[:1])
		return
	}
	for i := from + 1; i <= 5; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id)
		_ = http.NewResponseController(w).Flush()
	}
}

// serveUntilClose writes a stream that has neither a length nor chunks, with a rest after the last
// event.
func (s *soak) serveUntilClose(w http.ResponseWriter, id string, from, last int, rest string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.t.Error(err)
		return
	}
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(buffered)
	_, _ = buffered.WriteString("\r\n")
	for i := from + 1; i <= last; i++ {
		_, _ = fmt.Fprintf(buffered, "id: %d\ndata: %s\n\n", i, id)
	}
	_, _ = buffered.WriteString(rest)
	_ = buffered.Flush() // fails if the host has closed the connection
	_ = conn.Close()
}

// run sends requests while it injects faults, then checks that the hosts serve again.
func (s *soak) run() {
	s.awaitServing("before the faults")
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for c := range 6 {
		callers.Go(func() { s.runCaller(c, stop) })
	}
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		for range max(len(s.hosts)/defaultSoakHosts, 1) {
			s.inject()
		}
		s.state()
		s.drill()
		time.Sleep(time.Duration(50+s.random.IntN(400)) * time.Millisecond)
	}
	s.clearFaults()
	close(stop)
	callers.Wait()
	s.awaitServing("after the faults")
	s.checkFollowing()
	s.checkRuns()
}

// inject picks a random fault and injects, changes or ends it. A seed replays the same faults
// only if the order of the list and of the random draws stays.
func (s *soak) inject() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	p := s.proxies[s.random.IntN(len(s.proxies))]
	faults := []struct {
		name string
		do   func()
	}{
		{"kill", func() { s.restart(h, syscall.SIGKILL) }},
		{"stop", func() { s.restart(h, syscall.SIGTERM) }},
		{"pause", func() { s.signal(h, syscall.SIGSTOP); h.paused = true }},
		{"wake", func() { s.resume(h) }},
		{"reload", func() { s.signal(h, syscall.SIGHUP) }},
		{"cut", p.closeConns},
		{"refuse", func() { p.set(faults{refuse: true}) }},
		{"silence", func() { p.set(faults{blockUp: true, blockDown: true}) }},
		{"one way", func() { p.set(faults{blockDown: true}) }},
		{"old silent", func() { p.set(faults{blockUp: true, blockDown: true, onlyExisting: true}) }},
		{"delay", func() { p.set(faults{delay: 30 * time.Millisecond}) }},
		{"mend", func() { p.set(faults{}) }},
		{"mend", func() { p.set(faults{}) }},
		{"cut next", func() { p.set(faults{closeNext: true}) }},
		{"store fails", func() { s.store.SetBroken(true) }},
		{"store works", func() { s.store.SetBroken(false) }},
		{"configure", func() { s.publish(len(s.injected) + 2) }},
		{"leave", func() { s.registerFirst("draining") }},
		{"return", func() { s.registerFirst("ready") }},
	}
	f := faults[s.random.IntN(len(faults))]
	s.injected = append(s.injected, f.name+" "+h.name)
	f.do()
}

// state makes a random engine state something about itself, or take it back. The second engine may leave:
// it does so for good, and the first one of its pool stays.
func (s *soak) state() {
	e := s.engines[s.statements.IntN(len(s.engines))]
	switch s.statements.IntN(6) {
	case 0:
		e.StateLimit(strconv.FormatFloat(1+5*s.statements.Float64(), 'f', 1, 64))
	case 1, 2:
		e.StateLimit("")
	case 3:
		e.StateLimit("wrong")
	case 4:
		d := time.Duration(100+s.statements.IntN(1500)) * time.Millisecond
		e.RefuseFor(d, strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
	default:
		s.engines[1].StateLeaving(true)
	}
}

// registerFirst registers the first engine with the state.
func (s *soak) registerFirst(state string) {
	s.firstState = state
	s.store.RegisterAt(s.engines[0], s.proxies[1].address(), enginePools[0], state)
}

// registerAll registers all engines.
func (s *soak) registerAll() {
	s.registerFirst(s.firstState)
	for i, e := range s.engines[1:] {
		s.store.RegisterAt(e, s.proxies[2+i].address(), enginePools[1+i], "ready")
	}
}

// publish publishes a version of the configuration.
func (s *soak) publish(version int, extra ...string) {
	s.version = version
	s.store.PublishConfig(version, extra...)
}

// drill makes a backup of the store, restores it from the last one, or writes again what the last restore has lost.
func (s *soak) drill() {
	draw, delay := s.restores.IntN(8), time.Duration(s.restores.IntN(1500))*time.Millisecond
	switch {
	case !s.rewriteAt.IsZero() && time.Now().After(s.rewriteAt):
		s.writeAgain()
	case draw < 2:
		s.backup = s.store.Backup()
	case draw == 2:
		s.store.Restore(s.backup)
		s.rewriteAt = time.Now().Add(delay)
		s.injected = append(s.injected, "restore")
	}
}

// writeAgain writes what a restore of the store has lost: what holds, and not what held in between.
func (s *soak) writeAgain() {
	s.rewriteAt = time.Time{}
	s.publish(s.version)
	s.registerAll()
}

// checkFollowing checks that the hosts take up a new configuration, and send nothing to an engine that has left, after a
// restore that has lost more changes than are written from then on.
func (s *soak) checkFollowing() {
	s.backup = s.store.Backup()
	for range 10 {
		s.publish(s.version + 1)
	}
	time.Sleep(leaveBound) // the hosts have read this
	s.store.Restore(s.backup)
	s.publish(s.version+1000, `{"name":"last","host":"h.example","prefix":"/last/","kind":"idempotent","timeoutMs":2000,"sloMs":300,"service":"plain","maxAttempts":2}`)
	s.await("after the last configuration", "/last/")
	time.Sleep(leaveBound) // a target that a backup lacks stays in use for a moment
	s.store.Put("servers/i-0", "")
	time.Sleep(leaveBound)
	received := len(s.engines[0].Received())
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	for i, h := range s.hosts {
		for n := range 10 {
			s.send(client, h, "/read/", fmt.Sprintf("l.%d.%d.read.", i, n))
		}
	}
	if late := len(s.engines[0].Received()) - received; late > 0 {
		s.t.Errorf("seed %d: %d requests reached an engine that had left; faults: %v", s.seed, late, s.injected)
	}
}

func (s *soak) signal(h *soakHost, signal syscall.Signal) {
	if err := h.process.command.Process.Signal(signal); err != nil {
		s.t.Errorf("seed %d: %s exited unexpectedly: %v", s.seed, h.name, err)
	}
}

func (s *soak) resume(h *soakHost) {
	if h.paused {
		s.signal(h, syscall.SIGCONT)
		h.paused = false
	}
}

// restart ends a host with the signal and starts it again.
func (s *soak) restart(h *soakHost, signal syscall.Signal) {
	s.resume(h)
	s.signal(h, signal)
	<-h.process.ended
	h.process = startProcess(s.t, "sassafrasward", "edge", "--settings", h.settings)
}

// clearFaults ends all faults.
func (s *soak) clearFaults() {
	for _, p := range s.proxies {
		p.set(faults{})
	}
	for _, h := range s.hosts {
		s.resume(h)
	}
	for _, e := range s.engines {
		e.StateLimit("")
	}
	s.store.SetBroken(false)
	s.registerFirst("ready")
	s.writeAgain()
}

// runCaller sends requests of all kinds to random hosts until stop is closed.
func (s *soak) runCaller(caller int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(s.seed, uint64(caller)))
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		path := []string{"/write/", "/read/", "/chat/", "/talk/"}[random.IntN(4)]
		id := fmt.Sprintf("c%d.%d%s", caller, n, strings.ReplaceAll(path, "/", "."))
		s.send(client, s.hosts[random.IntN(len(s.hosts))], path, id)
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

// send sends one request, checks its answer and reports whether it was served.
func (s *soak) send(client *http.Client, h *soakHost, path, id string) (ok bool) {
	r, err := http.NewRequest(http.MethodPost, "http://"+h.caller+path, nil)
	if err != nil {
		s.t.Error(err)
		return false
	}
	standin.SetHeaders(r, id)
	if path == "/talk/" {
		standin.SetPieces(r)
	}
	result := "cut"
	response, err := client.Do(r)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		if err == nil {
			result = strconv.Itoa(response.StatusCode)
			ok = response.StatusCode == http.StatusOK
		}
		if ok && string(body) != wholeBody(path, id) {
			s.t.Errorf("seed %d: %s got the body %q", s.seed, id, body)
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.responses[id] = result
	if ok {
		s.served++
	}
	return ok
}

// isStream reports whether the responses to a path are streams.
func isStream(path string) bool {
	return strings.HasPrefix(path, "/chat/") || strings.HasPrefix(path, "/talk/")
}

// wholeBody returns the complete response body of a request.
func wholeBody(path, id string) string {
	if !isStream(path) {
		return "answer of " + id
	}
	var b strings.Builder
	for i := 1; i <= 5; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, id)
	}
	return b.String()
}

// awaitServing waits until each host serves each kind of request. It limits the number of
// tries and not the wall time, so that a slow machine does not fail it.
func (s *soak) awaitServing(when string) { s.await(when, "/write/", "/read/", "/chat/", "/talk/") }

// await does so for some kinds of requests.
func (s *soak) await(when string, paths ...string) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	for _, h := range s.hosts {
		for _, path := range paths {
			served := false
			for n := 0; n < 400 && !served; n++ {
				if h.process.hasEnded() {
					s.t.Fatalf("seed %d: %s exited unexpectedly %s; faults: %v; last log lines: %v", s.seed, h.name, when, s.injected, h.process.lastLines())
				}
				served = s.send(client, h, path, fmt.Sprintf("w.%s.%s.%d%s", strings.ReplaceAll(when, " ", "-"), h.name, n, strings.ReplaceAll(path, "/", ".")))
				if !served {
					time.Sleep(50 * time.Millisecond)
				}
			}
			if !served {
				s.t.Fatalf("seed %d: %s does not serve %s %s; faults: %v; last log lines: %v", s.seed, h.name, path, when, s.injected, h.process.lastLines())
			}
		}
	}
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// lastLines returns the last lines of the process's output.
func (p *process) lastLines() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.lines[max(len(p.lines)-5, 0):]
}

// checkRuns compares the responses that callers got with the runs on the engines.
func (s *soak) checkRuns() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, runs := range s.runs {
		atMostOnce := strings.HasSuffix(id, ".write.") || strings.HasSuffix(id, ".talk.")
		if atMostOnce && runs > 1 {
			s.t.Errorf("seed %d: %s ran %d times; faults: %v", s.seed, id, runs, s.injected)
		}
		if atMostOnce && (s.responses[id] == "503" || s.responses[id] == "429") {
			s.t.Errorf("seed %d: %s ran but was answered as not run; faults: %v", s.seed, id, s.injected)
		}
	}
	s.t.Logf("seed %d: %d of %d requests served, %d faults", s.seed, s.served, len(s.responses), len(s.injected))
	if s.served == 0 {
		s.t.Errorf("seed %d: no request was served", s.seed)
	}
}
