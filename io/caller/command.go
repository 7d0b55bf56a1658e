package caller

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/zeebo/errs"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/io/wire"
)

// margin is added to the deadline of a command before its host is taken as silent.
const margin = time.Second

// Keys returns n command keys of one host, which becomes the first to be used.
func (c *Client) RequestKeys(ctx context.Context, workspace string, n int) (keys []string, err error) {
	defer func() { err = Error.Wrap(err) }()
	hosts, err := c.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var group errs.Group
	for _, address := range append(addresses(hosts), c.seeds...) {
		answer, err := c.ask(ctx, address, n, workspace)
		if err != nil || len(answer.Keys) < n {
			group.Add(err)
			continue
		}
		c.keep(answer)
		return answer.Keys, nil
	}
	return nil, errs.Combine(errs.New("no host issued keys for workspace %s", workspace), group.Err())
}

// Command runs a pipeline with a stage that may not be repeated. If the request has no key,
// it asks for one. Each resend carries the same key, through other hosts, so that the
// command runs at most once. It takes a new key only for a key that it asked for itself
// and while all answers for the old one were a certain not-run.
func (c *Client) Command(ctx context.Context, pipeline string, request wire.Request) (answer wire.Answer, err error) {
	defer func() { err = Error.Wrap(err) }()
	own := request.Key == ""
	for range maxSends {
		if own {
			keys, err := c.RequestKeys(ctx, request.Workspace, 1)
			if err != nil {
				return answer, err
			}
			request.Key = keys[0]
		}
		var renew bool
		if answer, renew, err = c.command(ctx, pipeline, request); !renew || !own || ctx.Err() != nil {
			return answer, err
		}
		c.forget()
	}
	return answer, err
}

// command sends a request with one key until its end is known. It reports renew if the key
// surely did not run because its owner stops, so that a new key is to be used.
func (c *Client) command(ctx context.Context, pipeline string, request wire.Request) (answer wire.Answer, renew bool, err error) {
	hosts, err := c.Hosts(ctx)
	if err != nil {
		return answer, false, err
	}
	// doubt is true once a send may have reached the owner without an answer that tells
	// its end. A later not-run is then no proof: the earlier send may still be on its way.
	doubt := false
	for sends := range max(maxSends, len(hosts)) {
		var got wire.Answer
		got, err = c.once(ctx, hosts[sends%len(hosts)].Address, pipeline, request)
		switch {
		case err != nil:
			doubt = doubt || !unsent(err)
		case final(got):
			return got, false, nil
		case got.Outcome == outcome.NotRun.String():
			answer = got
			if !doubt && !again(got) {
				return got, false, nil
			}
		default:
			answer, doubt = got, true
		}
		if ctx.Err() != nil {
			break
		}
	}
	if doubt {
		answer.Outcome = outcome.Unknown.String()
	}
	if answer.Outcome == "" {
		return answer, false, err
	}
	return answer, !doubt && again(answer), nil
}

// once sends the request to one host. A silent host is given up after the deadline.
func (c *Client) once(ctx context.Context, address, pipeline string, request wire.Request) (answer wire.Answer, err error) {
	if request.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(request.Deadline)*time.Millisecond+margin)
		defer cancel()
	}
	return c.send(ctx, address, pipeline, request, nil)
}

// unsent reports whether the error says that no connection was made.
func unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// final reports whether the answer is the last word on the key. An unknown that stems from
// the host that was asked, not from the owner of the key, is not.
func final(answer wire.Answer) bool {
	o, ok := outcome.Parse(answer.Outcome)
	if !ok || o == outcome.NotRun {
		return false
	}
	if o != outcome.Unknown {
		return true
	}
	switch why, _ := reason.Parse(answer.Reason); why {
	case reason.TimedOut, reason.Crashed, reason.Rejected, reason.DeadlineExceeded, reason.KeyExpired, reason.BodyTooLarge:
		return true
	}
	return false
}
