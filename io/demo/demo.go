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
var baseConfig string

// targetsPerPool is the number of stand-in targets in each pool.
const targetsPerPool = 2

const (
	targetBaseTime  = 5 * time.Millisecond
	targetTokenTime = 2 * time.Millisecond
)

var pools = []string{"encoders", "retrievers", "rerankers", "assistants", "deposits"}

// demo holds the running parts of the demo.
type demo struct {
	out      io.Writer
	servers  []*http.Server
	platform *standin.Platform
	// publishedConfig is the configuration as first published.
	publishedConfig []byte
	hosts           []*host
	client          *caller.Client
	// engines are the targets that record the model orders they receive.
	engines []*standin.Target
	// deposits are the targets whose recorded runs show that a command ran once.
	deposits []*standin.Target
}

// Run starts all parts of the system, sends requests of every kind, prints what happened to
// out, and stops everything.
func Run(ctx context.Context, out io.Writer, log logr.Logger) (err error) {
	defer func() { err = Error.Wrap(err) }()
	_, _ = fmt.Fprintln(out, "Two hosts, a platform and ten targets run on loopback in this process.")
	d := &demo{out: out}
	defer func() { err = errors.Join(err, d.close()) }()
	if err := d.start(ctx, log); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{d.sendRequests, d.printOrders, d.switchPresets, d.stopWhileStreaming} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) start(ctx context.Context, log logr.Logger) (err error) {
	platform := standin.NewPlatform()
	d.platform = platform
	document := baseConfig
	for _, pool := range pools {
		for i := range targetsPerPool {
			name := fmt.Sprintf("%s%d", pool, i+1)
			target := standin.NewTarget(name, standin.WithLatency(targetBaseTime, targetTokenTime))
			switch pool {
			case "deposits":
				d.deposits = append(d.deposits, target)
			case "assistants":
				d.engines = append(d.engines, target)
			}
			address, err := d.serve(target.Handler())
			if err != nil {
				return err
			}
			document += fmt.Sprintf("\n[target %s]\npool = %s\naddress = %s\nzone = a\n", name, pool, address)
		}
	}
	d.publishedConfig = []byte(document)
	platform.Publish(d.publishedConfig)
	address, err := d.serve(platform.Handler())
	if err != nil {
		return err
	}
	return d.startHosts(ctx, address, log)
}

func (d *demo) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// close stops the hosts gracefully, then the stand-ins.
func (d *demo) close() (err error) {
	for i := range d.hosts {
		err = errors.Join(err, d.stop(i))
	}
	for _, s := range d.servers {
		err = errors.Join(err, s.Close())
	}
	return err
}

func (d *demo) sendRequests(ctx context.Context) error {
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
		answer, err := d.client.Call(ctx, step.pipeline, step.request, func(wire.Token) {})
		if err != nil {
			return err
		}
		d.print(step.title, answer)
	}
	return d.sendDeposit(ctx, wire.Request{Workspace: "biel", Input: json.RawMessage(`{"amount":40}`)})
}

// sendDeposit sends one command twice with the same key and counts its runs on the targets.
func (d *demo) sendDeposit(ctx context.Context, request wire.Request) error {
	keys, err := d.client.RequestKeys(ctx, request.Workspace, 1)
	if err != nil {
		return err
	}
	request.Key = keys[0]
	var outputs []string
	for _, title := range []string{"a deposit with a key", "the same deposit, sent again"} {
		answer, err := d.client.Call(ctx, "deposit", request, nil)
		if err != nil {
			return err
		}
		d.print(title, answer)
		outputs = append(outputs, string(answer.Output))
	}
	runs := 0
	for _, target := range d.deposits {
		for _, entry := range target.Runs() {
			if entry.Stage == "deposit" {
				runs++
			}
		}
	}
	_, _ = fmt.Fprintf(d.out, "  the same answer: %t; runs in the targets' ledgers: %d\n", outputs[0] == outputs[1], runs)
	return nil
}

func (d *demo) print(title string, answer wire.Answer) {
	_, _ = fmt.Fprintf(d.out, "%s: %s %s %s\n", title, answer.Outcome, answer.Reason, answer.Detail)
	for _, s := range answer.Stages {
		_, _ = fmt.Fprintf(d.out, "  %-12s on %-12s attempts %d, waited %.1f ms, took %.1f ms\n", s.Stage, s.Target, s.Attempts, s.Wait, s.Elapsed)
	}
}
