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

// deadlineMargin is how long after the deadline of a command the client still waits for the
// host to answer.
const deadlineMargin = time.Second

// RequestKeys returns n command keys issued by one host. It also caches the hosts of that
// answer, which start with the issuing host because that host owns the keys.
func (c *Client) RequestKeys(ctx context.Context, workspace string, n int) (keys []string, err error) {
	defer func() { err = Error.Wrap(err) }()
	hosts, err := c.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var group errs.Group
	for _, address := range append(addresses(hosts), c.seeds...) {
		answer, err := c.fetchAddresses(ctx, address, n, workspace)
		if err != nil || len(answer.Keys) < n {
			group.Add(err)
			continue
		}
		c.setHosts(answer)
		return answer.Keys, nil
	}
	return nil, errs.Combine(errs.New("no host issued keys for workspace %s", workspace), group.Err())
}

// Command runs a pipeline with a stage that may not be repeated. If the request has no key,
// Command requests one. Each resend goes to another host with the same key, so that the
// command runs at most once. Command replaces a key only if it requested the key itself and
// every answer proves that nothing ran under it.
func (c *Client) Command(ctx context.Context, pipeline string, request wire.Request) (answer wire.Answer, err error) {
	defer func() { err = Error.Wrap(err) }()
	ownKey := request.Key == ""
	for range maxAttempts {
		if ownKey {
			keys, err := c.RequestKeys(ctx, request.Workspace, 1)
			if err != nil {
				return answer, err
			}
			request.Key = keys[0]
		}
		var needNewKey bool
		if answer, needNewKey, err = c.runWithKey(ctx, pipeline, request); !needNewKey || !ownKey || ctx.Err() != nil {
			return answer, err
		}
		c.expireHosts()
	}
	return answer, err
}

// runWithKey sends a request with one key until the outcome is known or the attempts are used
// up. It reports needNewKey if nothing ran under the key and the last refusal was due to the
// state of a host, such as draining, so that a new key is safe.
func (c *Client) runWithKey(ctx context.Context, pipeline string, request wire.Request) (answer wire.Answer, needNewKey bool, err error) {
	hosts, err := c.Hosts(ctx)
	if err != nil {
		return answer, false, err
	}
	// mayHaveRun is true once an attempt may have reached the owner without an answer that
	// tells the outcome. A later not-run then proves nothing: the earlier attempt may still
	// be in flight.
	mayHaveRun := false
	for attempt := range max(maxAttempts, len(hosts)) {
		var got wire.Answer
		got, err = c.sendWithTimeout(ctx, hosts[attempt%len(hosts)].Address, pipeline, request)
		switch {
		case err != nil:
			mayHaveRun = mayHaveRun || !dialFailed(err)
		case isFinal(got):
			return got, false, nil
		case got.Outcome == outcome.NotRun.String():
			answer = got
			if !mayHaveRun && !retryOnOtherHost(got) {
				return got, false, nil
			}
		default:
			answer, mayHaveRun = got, true
		}
		if ctx.Err() != nil {
			break
		}
	}
	if mayHaveRun {
		answer.Outcome = outcome.Unknown.String()
	}
	if answer.Outcome == "" {
		return answer, false, err
	}
	return answer, !mayHaveRun && retryOnOtherHost(answer), nil
}

// sendWithTimeout sends the request to one host and gives up deadlineMargin after the
// deadline if the request has one.
func (c *Client) sendWithTimeout(ctx context.Context, address, pipeline string, request wire.Request) (answer wire.Answer, err error) {
	if request.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(request.Deadline)*time.Millisecond+deadlineMargin)
		defer cancel()
	}
	return c.send(ctx, address, pipeline, request, nil)
}

// dialFailed reports whether the error shows that no connection was established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isFinal reports whether the answer is the final outcome of the key. The outcome unknown is
// final only if its reason comes from the owner of the key, not from the host that relays.
func isFinal(answer wire.Answer) bool {
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
