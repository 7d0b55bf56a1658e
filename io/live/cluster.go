package live

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"sassafrasward/core/reason"
	"sassafrasward/core/trace"
	"sassafrasward/io/daemon"
	"sassafrasward/io/setting"
	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

const (
	// readyTimeout is the time limit for all hosts to start, and readyPoll the interval between
	// status calls to a host.
	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// cluster holds the servers of a live run: targets, platform and entry hosts.
type cluster struct {
	trace    *trace.Trace
	scale    float64
	platform *standin.Platform
	targets  map[string]*target
	servers  []*http.Server
	// configText is the published configuration.
	configText string
	// hosts are the addresses of the entry hosts for callers.
	hosts     []string
	stopHosts context.CancelFunc
	// hostErrors receives the result of each host when it ends.
	hostErrors chan error
}

// start starts all servers and waits until all hosts serve.
func (c *cluster) start(ctx context.Context, hosts int) (err error) {
	c.configText = string(c.trace.Document().Raw())
	for _, t := range c.trace.Document().Targets() {
		added := newTarget(c.trace, c.trace.ServiceModel(t.Pool()), t.Slots(), c.scale)
		c.targets[t.Name()] = added
		address, err := c.serve(added.handler())
		if err != nil {
			return err
		}
		c.configText = strings.ReplaceAll(c.configText, "address = "+t.Address()+"\n", "address = "+address+"\n")
	}
	c.platform.Publish([]byte(c.configText))
	address, err := c.serve(c.platform.Handler())
	if err != nil {
		return err
	}
	hostCtx, cancel := context.WithCancel(ctx)
	c.stopHosts = cancel
	var list []wire.HostEntry
	for i := range hosts {
		added, err := c.startHost(hostCtx, fmt.Sprintf("host%d", i+1), address)
		if err != nil {
			return err
		}
		list = append(list, added)
	}
	c.platform.SetHosts(list)
	return c.waitReady(ctx)
}

// startHost starts one entry host.
func (c *cluster) startHost(ctx context.Context, name, platform string) (entry wire.HostEntry, err error) {
	const format = "[host]\nname = %s\nzone = a\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\n[platform]\naddress = %s\n[join]\nmode = alone\n"
	s, err := setting.Parse([]byte(fmt.Sprintf(format, name, platform)))
	if err != nil {
		return entry, err
	}
	d, err := daemon.New(s, logr.Discard(), daemon.WithDrainDelay(0))
	if err != nil {
		return entry, err
	}
	c.hosts = append(c.hosts, d.Address())
	go func() { c.hostErrors <- d.Run(ctx) }()
	return wire.HostEntry{Host: name, Address: d.Address(), Zone: "a", Kind: wire.KindEntry, State: wire.StateLive}, nil
}

// serve starts an HTTP server with the handler and returns its address.
func (c *cluster) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	// The error log is discarded, because the server would log each call that a crashed target
	// aborts.
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// waitReady waits until all hosts serve.
func (c *cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, host := range c.hosts {
		for {
			status, err := c.status(ctx, host)
			if err == nil && status.State == daemon.StateServing {
				break
			}
			select {
			case <-time.After(readyPoll):
			case <-ctx.Done():
				return errors.Join(err, ctx.Err())
			}
		}
	}
	return nil
}

// status returns the status that the host reports.
func (c *cluster) status(ctx context.Context, host string) (s daemon.Status, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+wire.PathStatus, nil)
	if err != nil {
		return s, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// retries returns by reason the number of repeated stage calls that the hosts counted.
func (c *cluster) retries(ctx context.Context) (counts map[reason.Retry]int, err error) {
	counts = make(map[reason.Retry]int)
	for _, host := range c.hosts {
		status, err := c.status(ctx, host)
		if err != nil {
			return nil, err
		}
		for _, why := range reason.Retries() {
			counts[why] += int(status.Counters["retry."+why.String()])
		}
	}
	return counts, nil
}

var presetLine = regexp.MustCompile(`(?m)^preset = \S+$`)

// setPreset publishes the configuration with the named preset as the active one.
func (c *cluster) setPreset(name string) {
	c.configText = presetLine.ReplaceAllString(c.configText, "preset = "+name)
	c.platform.Publish([]byte(c.configText))
}

// close stops the hosts gracefully and then the stand-ins.
func (c *cluster) close() (err error) {
	if c.stopHosts != nil {
		c.stopHosts()
	}
	for range c.hosts {
		err = errors.Join(err, <-c.hostErrors)
	}
	for _, s := range c.servers {
		err = errors.Join(err, s.Close())
	}
	return err
}
