package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// hostOptions are the settings of a host that differ between cases.
type hostOptions struct {
	memoryMB       int
	store          string
	contact, leave int
	apply          int
	zone, zones    string
	seeds          []string
}

// host is one process of the system.
type host struct {
	name                                      string
	front, ready, control, directory, metrics string
	file                                      string
	options                                   hostOptions

	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// newHost returns a host that is not started.
func newHost(name string, o hostOptions) *host {
	a := hostAddresses()
	return &host{name: name, options: o, front: a[0], ready: a[1], control: a[2], directory: a[3], metrics: a[4]}
}

// settings returns deploy/host.ini as the platform renders it for a small deployment.
func (h *host) settings() string {
	o := h.options
	return fmt.Sprintf(`[host]
name = %s
zone = %s
caller = %s
peer = %s
[edge]
ready = %s
metrics = %s
directory = %s
memory = %d
descriptors = 4100
grace = 8
lifetime = 5
contact = %d
leave = %d
apply = %d
ratio = 0.2
slack = 52
window = 10
region = here
zones = %s
[platform]
address = %s
[join]
mode = alone
seeds = %s
`, h.name, o.zone, h.front, h.control, h.ready, h.metrics, h.directory, o.memoryMB, o.contact, o.leave, o.apply, o.zones, o.store, strings.Join(o.seeds, ","))
}

// start starts the process with the command of the deploy file.
func (h *host) start() {
	h.file = filepath.Join(scratch, h.name+".ini")
	if err := os.WriteFile(h.file, []byte(h.settings()), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	log, err := os.OpenFile(filepath.Join(scratch, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	defer func() { _ = log.Close() }()
	c := exec.Command("target/sassafrasward", "edge")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SASSAFRASWARD_NODE_FILE=" + h.file}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startPinned(c); err != nil {
		cannotRun("start: %v", err)
	}
	ended := make(chan struct{})
	h.mutex.Lock()
	h.process, h.ended = c, ended
	h.mutex.Unlock()
	go func() {
		_ = c.Wait()
		close(ended)
	}()
}

// starts runs on one thread that lives as long as the program, because Pdeathsig is bound to the thread.
var starts = make(chan func())

func startPinned(c *exec.Cmd) (err error) {
	done := make(chan struct{})
	starts <- func() {
		err = c.Start()
		close(done)
	}
	<-done
	return err
}

// kill ends the process.
func (h *host) kill() {
	h.mutex.Lock()
	p, ended := h.process, h.ended
	h.mutex.Unlock()
	if p == nil {
		return
	}
	_ = p.Process.Kill()
	<-ended
}

// signal sends a signal to the process.
func (h *host) signal(s os.Signal) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_ = h.process.Process.Signal(s)
}

// alive reports whether the process runs.
func (h *host) alive() bool {
	h.mutex.Lock()
	ended := h.ended
	h.mutex.Unlock()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// residentMB returns the resident memory of the process in MB.
func (h *host) residentMB() float64 {
	h.mutex.Lock()
	pid := h.process.Process.Pid
	h.mutex.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// isReady asks the readiness check once.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the host is ready.
func (h *host) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return
		}
	}
	cannotRun("host %s did not get ready", h.name)
}
