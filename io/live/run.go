package live

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sort"
	"time"

	"github.com/zeebo/errs"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/core/replay"
	"sassafrasward/core/trace"
	"sassafrasward/io/caller"
	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("live")

// PolicyName is the policy name in results of this package. It names no policy of core/replay, as
// the daemons take their policy from the active preset.
const PolicyName = "live"

// player sends the requests of the trace at the times that the trace gives.
type player struct {
	*cluster
	random    *rand.Rand
	clients   []*caller.Client
	startTime time.Time
	results   chan requestResult
}

// requestResult is the record of the request with the given index in the trace.
type requestResult struct {
	index  int
	record replay.Record
}

// Run replays the trace against the given number of hosts. It takes scale times the duration of
// the trace. The seed determines which host each request is sent to.
func Run(ctx context.Context, t *trace.Trace, seed uint64, hosts int, scale float64) (r *replay.Result, err error) {
	defer func() { err = Error.Wrap(err) }()
	c := &cluster{trace: t, scale: scale, platform: standin.NewPlatform(), targets: make(map[string]*target), hostErrors: make(chan error, hosts)}
	defer func() { err = errors.Join(err, c.close()) }()
	if err := c.start(ctx, hosts); err != nil {
		return nil, err
	}
	p := &player{cluster: c, random: rand.New(rand.NewPCG(seed, 0)), results: make(chan requestResult, len(t.Requests()))}
	for _, host := range c.hosts {
		p.clients = append(p.clients, caller.New([]string{host}, caller.WithZone("a")))
	}
	records, queueLengths, err := p.play(ctx)
	if err != nil {
		return nil, err
	}
	retries, err := c.retries(ctx)
	return replay.NewResult(t, PolicyName, seed, hosts, records, retries, queueLengths), err
}

// action is a function to call at a time of the trace.
type action struct {
	at time.Duration
	do func()
}

// actions returns the requests, faults and preset switches of the trace in the order of time.
func (p *player) actions(ctx context.Context) (list []action) {
	for i, q := range p.trace.Requests() {
		client := p.random.IntN(len(p.clients))
		list = append(list, action{q.SendTime(), func() { go p.send(ctx, i, q, client) }})
	}
	for _, s := range p.trace.SlowPeriods() {
		list = append(list, action{s.From(), func() { p.targets[s.Target()].setSlowFactor(s.Factor()) }},
			action{s.To(), func() { p.targets[s.Target()].setSlowFactor(1) }})
	}
	for _, c := range p.trace.Crashes() {
		list = append(list, action{c.From(), p.targets[c.Target()].crash}, action{c.To(), p.targets[c.Target()].restore})
	}
	for _, s := range p.trace.PresetSwitches() {
		list = append(list, action{s.At(), func() { p.setPreset(s.Preset()) }})
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	return list
}

// play runs all actions and returns when all requests have ended. queueLengths has the number of
// waiting calls at each second of the trace.
func (p *player) play(ctx context.Context) (records []replay.Record, queueLengths []int, err error) {
	records = make([]replay.Record, len(p.trace.Requests()))
	p.startTime = time.Now()
	remaining, pending := p.actions(ctx), len(records)
	seconds := time.NewTicker(p.scaled(time.Second))
	defer seconds.Stop()
	for pending > 0 {
		var next <-chan time.Time
		if len(remaining) > 0 {
			next = time.After(p.scaled(remaining[0].at) - time.Since(p.startTime))
		}
		select {
		case <-next:
			remaining[0].do()
			remaining = remaining[1:]
		case result := <-p.results:
			records[result.index] = result.record
			pending--
		case <-seconds.C:
			queueLengths = append(queueLengths, p.queueLength())
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
	return records, queueLengths, nil
}

// scaled converts a duration of the trace to real time.
func (p *player) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * p.scale)
}

// unscaled converts a duration in real time to that of the trace.
func (p *player) unscaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / p.scale)
}

// queueLength returns the number of calls that wait for a slot of a target.
func (p *player) queueLength() (n int) {
	for _, t := range p.targets {
		n += t.queueLength()
	}
	return n
}

// send sends one request, waits for its answer and reports the result.
func (p *player) send(ctx context.Context, index int, q trace.Request, client int) {
	startTime := time.Now()
	request := wire.Request{Workspace: q.Workspace(), Deadline: p.scaled(q.Deadline()).Milliseconds(), Prefix: q.Prefix(), Size: int64(q.OutputTokens())}
	request.Input, _ = json.Marshal(input{Index: index})
	if q.Command() {
		request.Key = p.commandKey(ctx, p.hosts[client], q.Workspace())
	}
	answer, err := p.clients[client].Call(ctx, q.Pipeline(), request, nil)
	o, why := outcome.Failed, reason.Crashed
	if err == nil {
		o, _ = outcome.Parse(answer.Outcome)
		why, _ = reason.Parse(answer.Reason)
	}
	record := replay.NewRecord(q, p.trace.IsLong(q), p.unscaled(time.Since(startTime)), o, why, p.stageStats(answer))
	p.results <- requestResult{index, record}
}

// stageStats converts the stage statistics of an answer to the time of the trace.
func (p *player) stageStats(answer wire.Answer) (list []replay.StageStats) {
	duration := func(ms float64) time.Duration {
		return p.unscaled(time.Duration(ms * float64(time.Millisecond)))
	}
	for _, s := range answer.Stages {
		list = append(list, replay.NewStageStats(s.Stage, s.Target, s.Attempts, duration(s.Wait), duration(s.Elapsed)))
	}
	return list
}

// commandKey asks the host for a command key. If the host issues none, it returns a fixed string
// that is not an issued key.
func (p *player) commandKey(ctx context.Context, host, workspace string) string {
	const fallbackKey = "live"
	query := url.Values{"workspace": {workspace}, "keys": {"1"}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+wire.PathAddresses+"?"+query.Encode(), nil)
	if err != nil {
		return fallbackKey
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fallbackKey
	}
	defer func() { _ = response.Body.Close() }()
	var answer wire.Addresses
	if json.NewDecoder(response.Body).Decode(&answer) != nil || len(answer.Keys) == 0 {
		return fallbackKey
	}
	return answer.Keys[0]
}
