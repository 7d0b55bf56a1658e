package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"sassafrasward/core/config"
	"sassafrasward/io/caller"
	"sassafrasward/io/daemon"
	"sassafrasward/io/setting"
	"sassafrasward/io/wire"
)

// pollInterval is the interval between two polls of a condition.
const pollInterval = 10 * time.Millisecond

// host is one entry host of the demo.
type host struct {
	name   string
	daemon *daemon.Daemon
	cancel context.CancelFunc
	ended  chan error
	// stopped is true once stop was called, which reads the only value of ended.
	stopped bool
}

// startHosts starts two hosts and publishes them in the host list of the platform.
func (d *demo) startHosts(ctx context.Context, platform string, log logr.Logger) error {
	var listed []wire.HostEntry
	var addresses []string
	for _, name := range []string{"demo1", "demo2"} {
		s, err := setting.Parse(fmt.Appendf(nil, "[host]\nname = %s\nzone = a\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\n[platform]\naddress = %s\n", name, platform))
		if err != nil {
			return err
		}
		entry, err := daemon.New(s, log, daemon.WithDrainDelay(0))
		if err != nil {
			return err
		}
		hostCtx, cancel := context.WithCancel(ctx)
		h := &host{name: name, daemon: entry, cancel: cancel, ended: make(chan error, 1)}
		d.hosts = append(d.hosts, h)
		go func() { h.ended <- entry.Run(hostCtx) }()
		addresses = append(addresses, entry.Address())
		listed = append(listed, wire.HostEntry{Host: name, Address: entry.Address(), Peer: entry.PeerAddress(), Zone: "a", Kind: wire.KindEntry, State: wire.StateLive})
	}
	d.platform.SetHosts(listed)
	d.client = caller.New(addresses, caller.WithZone("a"))
	return nil
}

// stop stops one host gracefully and waits for its end.
func (d *demo) stop(i int) error {
	h := d.hosts[i]
	if h.stopped {
		return nil
	}
	h.stopped = true
	h.cancel()
	return <-h.ended
}

// printOrders waits until each engine has received a model order and prints it.
func (d *demo) printOrders(ctx context.Context) error {
	for i, engine := range d.engines {
		for len(engine.Orders()) == 0 {
			if err := pollWait(ctx); err != nil {
				return err
			}
		}
		o := engine.Orders()[0].Order
		_, _ = fmt.Fprintf(d.out, "model order to assistants%d: models %v, role %s, fencing token %d\n", i+1, o.Models, o.Role, o.Fence)
	}
	return nil
}

// switchPresets switches to the preset maintenance and back, as an operator does, and sends a
// request under each.
func (d *demo) switchPresets(ctx context.Context) error {
	for _, preset := range []string{"maintenance", "ordinary"} {
		raw, err := config.SwitchPreset(d.publishedConfig, preset)
		if err != nil {
			return err
		}
		version := d.platform.Publish(raw)
		for _, h := range d.hosts {
			if err := h.awaitPreset(ctx, preset); err != nil {
				return err
			}
		}
		_, _ = fmt.Fprintf(d.out, "preset %s in force on all hosts, version %d\n", preset, version)
		answer, err := d.client.Call(ctx, "availability", wire.Request{Workspace: "biel", Input: json.RawMessage(`1`)}, nil)
		if err != nil {
			return err
		}
		d.print("an availability check", answer)
	}
	return nil
}

// awaitPreset waits until the preset is the active one on the host.
func (h *host) awaitPreset(ctx context.Context, preset string) error {
	for {
		s, err := h.status(ctx)
		if err != nil || s.Preset == preset {
			return err
		}
		if err := pollWait(ctx); err != nil {
			return err
		}
	}
}

func (h *host) status(ctx context.Context) (s daemon.Status, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.daemon.Address()+wire.PathStatus, nil)
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

// stopWhileStreaming stops the first host gracefully while it streams a report.
func (d *demo) stopWhileStreaming(ctx context.Context) error {
	type end struct {
		answer wire.Answer
		err    error
	}
	first, began, ended := d.hosts[0], make(chan struct{}), make(chan end, 1)
	tokens := 0
	go func() {
		request := wire.Request{Workspace: "thun", Input: json.RawMessage(`{"text":"site 4"}`), Size: 300}
		answer, err := caller.New([]string{first.daemon.Address()}).Call(ctx, "report", request, func(wire.Token) {
			if tokens++; tokens == 1 {
				close(began)
			}
		})
		ended <- end{answer, err}
	}()
	select {
	case <-began:
	case e := <-ended:
		return fmt.Errorf("the report ended before its first token: %s %s %w", e.answer.Outcome, e.answer.Reason, e.err)
	}
	if err := d.stop(0); err != nil {
		return err
	}
	report := <-ended
	if report.err != nil {
		return report.err
	}
	d.print(fmt.Sprintf("a report of %d tokens through the planned stop of host %s", tokens, first.name), report.answer)
	answer, err := d.client.Call(ctx, "availability", wire.Request{Workspace: "biel", Input: json.RawMessage(`1`)}, nil)
	if err != nil {
		return err
	}
	d.print("an availability check after the stop", answer)
	return nil
}

func pollWait(ctx context.Context) error {
	select {
	case <-time.After(pollInterval):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
