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

// Name is the policy name in results of this package: the daemons set their own policy
// from the preset in force.
const PolicyName = "live"

// player sends the requests of the trace at their times.
type player struct {
	*world
	random  *rand.Rand
	clients []*caller.Client
	began   time.Time
	ends    chan end
}

// end is the record of one request.
type end struct {
	index  int
	record replay.Record
}

// Run plays the trace at scale times its own duration.
func Run(ctx context.Context, t *trace.Trace, seed uint64, hosts int, scale float64) (r *replay.Result, err error) {
	defer func() { err = Error.Wrap(err) }()
	w := &world{trace: t, scale: scale, platform: standin.NewPlatform(), targets: make(map[string]*target), ended: make(chan error, hosts)}
	defer func() { err = errors.Join(err, w.close()) }()
	if err := w.start(ctx, hosts); err != nil {
		return nil, err
	}
	p := &player{world: w, random: rand.New(rand.NewPCG(seed, 0)), ends: make(chan end, len(t.Requests()))}
	for _, host := range w.hosts {
		p.clients = append(p.clients, caller.New([]string{host}, caller.WithZone("a")))
	}
	records, queue, err := p.play(ctx)
	if err != nil {
		return nil, err
	}
	retries, err := w.retries(ctx)
	return replay.NewResult(t, PolicyName, seed, hosts, records, retries, queue), err
}

// action is one thing to do at a time of the trace.
type action struct {
	at time.Duration
	do func()
}

// actions returns requests, faults and preset switches in the order of time.
func (p *player) actions(ctx context.Context) (list []action) {
	for i, q := range p.trace.Requests() {
		client := p.random.IntN(len(p.clients))
		list = append(list, action{q.SendTime(), func() { go p.send(ctx, i, q, client) }})
	}
	for _, s := range p.trace.SlowPeriods() {
		list = append(list, action{s.From(), func() { p.targets[s.Target()].setFactor(s.Factor()) }},
			action{s.To(), func() { p.targets[s.Target()].setFactor(1) }})
	}
	for _, c := range p.trace.Crashes() {
		list = append(list, action{c.From(), p.targets[c.Target()].fail}, action{c.To(), p.targets[c.Target()].restore})
	}
	for _, s := range p.trace.PresetSwitches() {
		list = append(list, action{s.At(), func() { p.setPreset(s.Preset()) }})
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	return list
}

// play runs all actions and returns when each request has ended.
func (p *player) play(ctx context.Context) (records []replay.Record, queue []int, err error) {
	records = make([]replay.Record, len(p.trace.Requests()))
	p.began = time.Now()
	todo, open := p.actions(ctx), len(records)
	seconds := time.NewTicker(p.scaled(time.Second))
	defer seconds.Stop()
	for open > 0 {
		var next <-chan time.Time
		if len(todo) > 0 {
			next = time.After(p.scaled(todo[0].at) - time.Since(p.began))
		}
		select {
		case <-next:
			todo[0].do()
			todo = todo[1:]
		case e := <-p.ends:
			records[e.index] = e.record
			open--
		case <-seconds.C:
			queue = append(queue, p.waiting())
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
	return records, queue, nil
}

func (p *player) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * p.scale)
}

func (p *player) unscaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / p.scale)
}

// waiting returns the calls that wait at the targets.
func (p *player) waiting() (n int) {
	for _, t := range p.targets {
		n += t.waiting()
	}
	return n
}

// send runs one request and reports its end.
func (p *player) send(ctx context.Context, index int, q trace.Request, client int) {
	began := time.Now()
	request := wire.Request{Workspace: q.Workspace(), Deadline: p.scaled(q.Deadline()).Milliseconds(), Prefix: q.Prefix(), Size: int64(q.OutputTokens())}
	request.Input, _ = json.Marshal(input{Index: index})
	if q.Command() {
		request.Key = p.key(ctx, p.hosts[client], q.Workspace())
	}
	answer, err := p.clients[client].Call(ctx, q.Pipeline(), request, nil)
	o, why := outcome.Failed, reason.Crashed
	if err == nil {
		o, _ = outcome.Parse(answer.Outcome)
		why, _ = reason.Parse(answer.Reason)
	}
	record := replay.NewRecord(q, p.trace.IsLong(q), p.unscaled(time.Since(began)), o, why, p.stages(answer))
	p.ends <- end{index, record}
}

func (p *player) stages(answer wire.Answer) (list []replay.StageStats) {
	duration := func(ms float64) time.Duration {
		return p.unscaled(time.Duration(ms * float64(time.Millisecond)))
	}
	for _, s := range answer.Stages {
		list = append(list, replay.NewStageStats(s.Stage, s.Target, s.Attempts, duration(s.Wait), duration(s.Elapsed)))
	}
	return list
}

// key asks the host for a command key. A host that issues none gets a made-up one.
func (p *player) key(ctx context.Context, host, workspace string) string {
	const made = "live"
	query := url.Values{"workspace": {workspace}, "keys": {"1"}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+wire.PathAddresses+"?"+query.Encode(), nil)
	if err != nil {
		return made
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return made
	}
	defer func() { _ = response.Body.Close() }()
	var answer wire.Addresses
	if json.NewDecoder(response.Body).Decode(&answer) != nil || len(answer.Keys) == 0 {
		return made
	}
	return answer.Keys[0]
}
