package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// hostTemplate is deploy/host.ini with the bounds of a sheet.
const hostTemplate = `[host]
name = %s
zone = %s
caller = %s
peer = %s
[edge]
ready = %s
metrics = %s
directory = %s
memory = 284
grace = 8
lifetime = 5
contact = %d
leave = %d
apply = %d
ratio = 0.2
slack = %d
window = 10
[platform]
address = %s
[join]
mode = alone
seeds = %s
`

// Bounds are the bounds of a sheet that differ between sites, in milliseconds but for RetrySlack.
type Bounds struct{ ContactMs, DrainMs, ConfigApplyMs, RetrySlack int }

// The bounds of the sites.
var (
	SmallBounds = Bounds{ContactMs: 3000, DrainMs: 2000, ConfigApplyMs: 2000, RetrySlack: 52}
	GrownBounds = Bounds{ContactMs: 4000, DrainMs: 3000, ConfigApplyMs: 3000, RetrySlack: 172}
)

// Host is an edge host, run as a process of its own.
type Host struct {
	lab  *Lab
	Name string
	// Front, Ready and Directory are its addresses for clients and for the platform.
	Front, Ready, Directory string
	peer, metrics, zone     string

	command *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

// firstPort and lastPort bound the ports that are given to processes. They are below those that the
// kernel gives to outgoing connections, which could take a port before its process listens.
const (
	firstPort = 12000
	lastPort  = 32000
)

// givenAddresses has the addresses that FreeAddress has returned.
var givenAddresses sync.Map

// FreeAddress returns a loopback address with a free port.
func FreeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if _, given := givenAddresses.LoadOrStore(address, true); given {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free port found")
}

// StartHosts starts one host in each zone and waits until all are ready.
func (l *Lab) StartHosts(zones ...string) (hosts []*Host, err error) {
	if hosts, err = l.LaunchHosts(zones...); err != nil {
		return nil, err
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range hosts {
		for !h.IsReady() {
			if time.Now().After(deadline) {
				return nil, fmt.Errorf("%s is not ready", h.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return hosts, nil
}

// LaunchHosts starts one host in each zone.
func (l *Lab) LaunchHosts(zones ...string) (hosts []*Host, err error) {
	var seeds []string
	for i, zone := range zones {
		h := &Host{lab: l, Name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone}
		for _, address := range []*string{&h.Front, &h.Ready, &h.Directory, &h.peer, &h.metrics} {
			if *address, err = FreeAddress(); err != nil {
				return nil, err
			}
		}
		hosts = append(hosts, h)
		if len(seeds) < 3 {
			seeds = append(seeds, h.peer)
		}
	}
	l.hosts = append(l.hosts, hosts...)
	for _, h := range hosts {
		if err := h.start(seeds); err != nil {
			return nil, err
		}
	}
	return hosts, nil
}

// start starts the process with the command of the deploy file.
func (h *Host) start(seeds []string) error {
	file := filepath.Join(h.lab.folder, h.Name+".ini")
	b := h.lab.Bounds
	text := fmt.Sprintf(hostTemplate, h.Name, h.zone, h.Front, h.peer, h.Ready, h.metrics, h.Directory,
		b.ContactMs, b.DrainMs, b.ConfigApplyMs, b.RetrySlack, h.lab.Store.Address, strings.Join(seeds, ","))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(h.lab.folder, h.Name+".log"))
	if err != nil {
		return err
	}
	h.command = exec.Command("target/sassafrasward", "edge")
	h.command.Env = append(os.Environ(), "SASSAFRASWARD_NODE_FILE="+file)
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	h.lab.Record.Add("%s: started", h.Name)
	go func() {
		err := h.command.Wait()
		h.lab.Record.Add("%s: ended (%v)", h.Name, err)
		close(h.ended)
	}()
	return nil
}

// IsReady asks the host as the platform does.
func (h *Host) IsReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.lab.Record.Add("%s: gets %v", h.Name, s)
	_ = h.command.Process.Signal(s)
}

// PID returns the id of the process.
func (h *Host) PID() int { return h.command.Process.Pid }

// Ended is closed once the process has ended.
func (h *Host) Ended() <-chan struct{} { return h.ended }

// Kill ends the process with SIGKILL.
func (h *Host) Kill() {
	if h.command == nil || h.command.Process == nil || h.ended == nil {
		return
	}
	if err := h.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		h.lab.Record.Add("%s: %v", h.Name, err)
	}
	<-h.ended
}
