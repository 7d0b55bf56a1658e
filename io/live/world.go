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
	// readyTimeout bounds the wait for the hosts to serve.
	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// world holds the running parts: targets, platform and entry hosts.
type world struct {
	trace    *trace.Trace
	scale    float64
	platform *standin.Platform
	targets  map[string]*target
	servers  []*http.Server
	// text is the published configuration.
	text  string
	hosts []string
	stop  context.CancelFunc
	ended chan error
}

// start brings everything up and waits until all hosts serve.
func (w *world) start(ctx context.Context, hosts int) (err error) {
	w.text = string(w.trace.Document().Raw())
	for _, t := range w.trace.Document().Targets() {
		one := newTarget(w.trace, w.trace.ServiceModel(t.Pool()), t.Slots(), w.scale)
		w.targets[t.Name()] = one
		address, err := w.serve(one.handler())
		if err != nil {
			return err
		}
		w.text = strings.ReplaceAll(w.text, "address = "+t.Address()+"\n", "address = "+address+"\n")
	}
	w.platform.Publish([]byte(w.text))
	address, err := w.serve(w.platform.Handler())
	if err != nil {
		return err
	}
	inner, cancel := context.WithCancel(ctx)
	w.stop = cancel
	var list []wire.HostEntry
	for i := range hosts {
		one, err := w.host(inner, fmt.Sprintf("host%d", i+1), address)
		if err != nil {
			return err
		}
		list = append(list, one)
	}
	w.platform.SetHosts(list)
	return w.ready(ctx)
}

// host starts one entry host.
func (w *world) host(ctx context.Context, name, platform string) (listed wire.HostEntry, err error) {
	const form = "[host]\nname = %s\nzone = a\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\n[platform]\naddress = %s\n[join]\nmode = alone\n"
	s, err := setting.Parse([]byte(fmt.Sprintf(form, name, platform)))
	if err != nil {
		return listed, err
	}
	d, err := daemon.New(s, logr.Discard(), daemon.WithLinger(0))
	if err != nil {
		return listed, err
	}
	w.hosts = append(w.hosts, d.Address())
	go func() { w.ended <- d.Run(ctx) }()
	return wire.HostEntry{Host: name, Address: d.Address(), Zone: "a", Kind: wire.KindEntry, State: wire.StateLive}, nil
}

func (w *world) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	// Crashed targets abort their handlers, which the server would log.
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// ready waits until all hosts serve.
func (w *world) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, host := range w.hosts {
		for {
			status, err := w.status(ctx, host)
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

func (w *world) status(ctx context.Context, host string) (s daemon.Status, err error) {
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

// retries sums up the repeated stage calls that the hosts counted.
func (w *world) retries(ctx context.Context) (counts map[reason.Retry]int, err error) {
	counts = make(map[reason.Retry]int)
	for _, host := range w.hosts {
		status, err := w.status(ctx, host)
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

// setPreset publishes the configuration with another preset in force.
func (w *world) setPreset(name string) {
	w.text = presetLine.ReplaceAllString(w.text, "preset = "+name)
	w.platform.Publish([]byte(w.text))
}

// close stops the hosts gracefully, then the stand-ins.
func (w *world) close() (err error) {
	if w.stop != nil {
		w.stop()
	}
	for range w.hosts {
		err = errors.Join(err, <-w.ended)
	}
	for _, s := range w.servers {
		err = errors.Join(err, s.Close())
	}
	return err
}
