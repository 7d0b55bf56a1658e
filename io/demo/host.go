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

// pollPause is the time between two looks at something that is about to change.
const pollPause = 10 * time.Millisecond

// host is one entry host of the demo.
type host struct {
	name   string
	daemon *daemon.Daemon
	cancel context.CancelFunc
	ended  chan error
	// stopped is true once the end was taken from ended.
	stopped bool
}

// startHosts runs two hosts and lists them on the platform.
func (w *world) startHosts(ctx context.Context, platform string, log logr.Logger) error {
	var listed []wire.HostEntry
	var addresses []string
	for _, name := range []string{"demo1", "demo2"} {
		s, err := setting.Parse(fmt.Appendf(nil, "[host]\nname = %s\nzone = a\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\n[platform]\naddress = %s\n", name, platform))
		if err != nil {
			return err
		}
		d, err := daemon.New(s, log, daemon.WithLinger(0))
		if err != nil {
			return err
		}
		inner, cancel := context.WithCancel(ctx)
		h := &host{name: name, daemon: d, cancel: cancel, ended: make(chan error, 1)}
		w.hosts = append(w.hosts, h)
		go func() { h.ended <- d.Run(inner) }()
		addresses = append(addresses, d.Address())
		listed = append(listed, wire.HostEntry{Host: name, Address: d.Address(), Peer: d.Peer(), Zone: "a", Kind: wire.KindEntry, State: wire.StateLive})
	}
	w.platform.SetHosts(listed)
	w.client = caller.New(addresses, caller.WithZone("a"))
	return nil
}

// stop stops one host gracefully and waits for its end.
func (w *world) stop(i int) error {
	h := w.hosts[i]
	if h.stopped {
		return nil
	}
	h.stopped = true
	h.cancel()
	return <-h.ended
}

// orders prints the model order that each engine took.
func (w *world) orders(ctx context.Context) error {
	for i, engine := range w.engines {
		for len(engine.Orders()) == 0 {
			if err := pause(ctx); err != nil {
				return err
			}
		}
		o := engine.Orders()[0].Order
		_, _ = fmt.Fprintf(w.out, "model order to assistants%d: models %v, role %s, fencing token %d\n", i+1, o.Models, o.Role, o.Fence)
	}
	return nil
}

// steer switches to the preset maintenance and back as an operator does.
func (w *world) steer(ctx context.Context) error {
	for _, preset := range []string{"maintenance", "ordinary"} {
		raw, err := config.SwitchPreset(w.published, preset)
		if err != nil {
			return err
		}
		version := w.platform.Publish(raw)
		for _, h := range w.hosts {
			if err := h.await(ctx, preset); err != nil {
				return err
			}
		}
		_, _ = fmt.Fprintf(w.out, "preset %s in force on all hosts, version %d\n", preset, version)
		answer, err := w.client.Call(ctx, "availability", wire.Request{Workspace: "biel", Input: json.RawMessage(`1`)}, nil)
		if err != nil {
			return err
		}
		w.print("an availability check", answer)
	}
	return nil
}

// await waits until the preset is in force on the host.
func (h *host) await(ctx context.Context, preset string) error {
	for {
		s, err := h.status(ctx)
		if err != nil || s.Preset == preset {
			return err
		}
		if err := pause(ctx); err != nil {
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

// plannedStop stops the first host while a report streams from it.
func (w *world) plannedStop(ctx context.Context) error {
	type end struct {
		answer wire.Answer
		err    error
	}
	first, began, ended := w.hosts[0], make(chan struct{}), make(chan end, 1)
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
	if err := w.stop(0); err != nil {
		return err
	}
	report := <-ended
	if report.err != nil {
		return report.err
	}
	w.print(fmt.Sprintf("a report of %d tokens through the planned stop of host %s", tokens, first.name), report.answer)
	answer, err := w.client.Call(ctx, "availability", wire.Request{Workspace: "biel", Input: json.RawMessage(`1`)}, nil)
	if err != nil {
		return err
	}
	w.print("an availability check after the stop", answer)
	return nil
}

func pause(ctx context.Context) error {
	select {
	case <-time.After(pollPause):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
