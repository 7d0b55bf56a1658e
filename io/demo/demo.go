package demo

import (
	"context"
	_ "embed" // for the published configuration
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"sassafrasward/io/caller"
	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("demo")

//go:embed demo.ini
var published string

// perPool is the number of stand-in targets for each pool.
const perPool = 2

const (
	targetBase  = 5 * time.Millisecond
	targetToken = 2 * time.Millisecond
)

var pools = []string{"encoders", "retrievers", "rerankers", "assistants", "deposits"}

// world holds the running parts of the demo.
type world struct {
	out      io.Writer
	servers  []*http.Server
	platform *standin.Platform
	// published is the configuration as first published.
	published []byte
	hosts     []*host
	client    *caller.Client
	// engines are the targets whose ledgers show the model orders.
	engines []*standin.Target
	// deposits are the targets whose ledgers show that a command ran once.
	deposits []*standin.Target
}

// Run starts the parts, runs requests of every kind, prints what happened to out and
// stops everything.
func Run(ctx context.Context, out io.Writer, log logr.Logger) (err error) {
	defer func() { err = Error.Wrap(err) }()
	_, _ = fmt.Fprintln(out, "Two hosts, a platform and ten targets run on loopback in this process.")
	w := &world{out: out}
	defer func() { err = errors.Join(err, w.close()) }()
	if err := w.start(ctx, log); err != nil {
		return err
	}
	for _, part := range []func(context.Context) error{w.requests, w.orders, w.steer, w.plannedStop} {
		if err := part(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) start(ctx context.Context, log logr.Logger) (err error) {
	platform := standin.NewPlatform()
	w.platform = platform
	document := published
	for _, pool := range pools {
		for i := range perPool {
			name := fmt.Sprintf("%s%d", pool, i+1)
			target := standin.NewTarget(name, standin.WithLatency(targetBase, targetToken))
			switch pool {
			case "deposits":
				w.deposits = append(w.deposits, target)
			case "assistants":
				w.engines = append(w.engines, target)
			}
			address, err := w.serve(target.Handler())
			if err != nil {
				return err
			}
			document += fmt.Sprintf("\n[target %s]\npool = %s\naddress = %s\nzone = a\n", name, pool, address)
		}
	}
	w.published = []byte(document)
	platform.Publish(w.published)
	address, err := w.serve(platform.Handler())
	if err != nil {
		return err
	}
	return w.startHosts(ctx, address, log)
}

func (w *world) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// close stops the hosts gracefully, then the stand-ins.
func (w *world) close() (err error) {
	for i := range w.hosts {
		err = errors.Join(err, w.stop(i))
	}
	for _, s := range w.servers {
		err = errors.Join(err, s.Close())
	}
	return err
}

func (w *world) requests(ctx context.Context) error {
	input := json.RawMessage(`{"text":"thermal camera 17 came back"}`)
	steps := []struct {
		title    string
		pipeline string
		request  wire.Request
	}{
		{"a damage summary, streamed", "summary", wire.Request{Workspace: "thun", Input: input, Size: 5}},
		{"an availability check", "availability", wire.Request{Workspace: "biel", Input: input}},
		{"an inspection report", "report", wire.Request{Workspace: "thun", Input: input, Size: 100}},
		{"a request of an unknown workspace", "summary", wire.Request{Workspace: "nobody", Input: input}},
	}
	for _, step := range steps {
		answer, err := w.client.Call(ctx, step.pipeline, step.request, func(wire.Token) {})
		if err != nil {
			return err
		}
		w.print(step.title, answer)
	}
	return w.deposit(ctx, wire.Request{Workspace: "biel", Input: json.RawMessage(`{"amount":40}`)})
}

// deposit sends one command twice with the same key and counts its runs in the ledgers.
func (w *world) deposit(ctx context.Context, request wire.Request) error {
	keys, err := w.client.RequestKeys(ctx, request.Workspace, 1)
	if err != nil {
		return err
	}
	request.Key = keys[0]
	var outputs []string
	for _, title := range []string{"a deposit with a key", "the same deposit, sent again"} {
		answer, err := w.client.Call(ctx, "deposit", request, nil)
		if err != nil {
			return err
		}
		w.print(title, answer)
		outputs = append(outputs, string(answer.Output))
	}
	runs := 0
	for _, target := range w.deposits {
		for _, entry := range target.Runs() {
			if entry.Stage == "deposit" {
				runs++
			}
		}
	}
	_, _ = fmt.Fprintf(w.out, "  the same answer: %t; runs in the targets' ledgers: %d\n", outputs[0] == outputs[1], runs)
	return nil
}

func (w *world) print(title string, answer wire.Answer) {
	_, _ = fmt.Fprintf(w.out, "%s: %s %s %s\n", title, answer.Outcome, answer.Reason, answer.Detail)
	for _, s := range answer.Stages {
		_, _ = fmt.Fprintf(w.out, "  %-12s on %-12s attempts %d, waited %.1f ms, took %.1f ms\n", s.Stage, s.Target, s.Attempts, s.Wait, s.Elapsed)
	}
}
