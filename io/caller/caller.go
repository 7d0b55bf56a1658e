package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/io/sse"
	"sassafrasward/io/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("caller")

const (
	maxAnswer = 16 << 20 // bytes
	maxSends  = 4
	// maxRounds and roundDelay bound how long a client waits for hosts that still join.
	maxRounds  = 50
	roundDelay = 100 * time.Millisecond
)

// Client sends requests to the system. It is safe for concurrent use.
type Client struct {
	seeds  []string
	zone   string
	client *http.Client

	mutex sync.Mutex
	// hosts is the last address answer; it is used until expiry.
	hosts  []wire.Host
	expiry time.Time
}

// Option configures a Client.
type Option func(*Client)

// WithZone names the caller's availability zone.
func WithZone(zone string) Option { return func(c *Client) { c.zone = zone } }

// New returns a client that asks the hosts at the seed addresses.
func New(seeds []string, options ...Option) *Client {
	c := &Client{seeds: seeds, client: &http.Client{}}
	for _, o := range options {
		o(c)
	}
	return c
}

// Hosts returns the hosts to use, from the kept answer or a new one.
func (c *Client) Hosts(ctx context.Context) (hosts []wire.Host, err error) {
	defer func() { err = Error.Wrap(err) }()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.hosts) > 0 && time.Now().Before(c.expiry) {
		return c.hosts, nil
	}
	for range maxRounds {
		if err = c.refresh(ctx); err == nil {
			return c.hosts, nil
		}
		select {
		case <-time.After(roundDelay):
		case <-ctx.Done():
			return nil, errs.Combine(err, ctx.Err())
		}
	}
	return nil, err
}

// refresh asks the known hosts, then the seeds, until one names hosts to use.
func (c *Client) refresh(ctx context.Context) error {
	var group errs.Group
	for _, address := range append(addresses(c.hosts), c.seeds...) {
		answer, err := c.ask(ctx, address, 0, "")
		if err != nil || len(answer.Hosts) == 0 {
			group.Add(err)
			continue
		}
		c.set(answer)
		return nil
	}
	return errs.Combine(errs.New("no host named hosts to use"), group.Err())
}

// set replaces the kept address answer. The mutex is held.
func (c *Client) set(answer wire.Addresses) {
	c.hosts = answer.Hosts
	c.expiry = time.Now().Add(time.Duration(answer.Lifetime) * time.Millisecond)
}

// keep replaces the kept address answer.
func (c *Client) keep(answer wire.Addresses) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.set(answer)
}

func addresses(hosts []wire.Host) (list []string) {
	for _, h := range hosts {
		list = append(list, h.Address)
	}
	return list
}

func (c *Client) ask(ctx context.Context, address string, keys int, workspace string) (answer wire.Addresses, err error) {
	query := url.Values{"zone": {c.zone}, "workspace": {workspace}, "keys": {strconv.Itoa(keys)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+wire.PathAddresses+"?"+query.Encode(), nil)
	if err != nil {
		return answer, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, errs.New("%s answered status %d", address, response.StatusCode)
	}
	return answer, json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&answer)
}

// Call runs a pipeline and returns its answer. Tokens are passed to each if it is not nil.
// A pipeline with a stage that may not be repeated is run as by Command.
func (c *Client) Call(ctx context.Context, pipeline string, request wire.Request, each func(wire.Token)) (answer wire.Answer, err error) {
	defer func() { err = Error.Wrap(err) }()
	if request.Key != "" {
		return c.Command(ctx, pipeline, request)
	}
	hosts, err := c.Hosts(ctx)
	if err != nil {
		return answer, err
	}
	for sends := range maxSends {
		host := hosts[sends%len(hosts)]
		answer, err = c.send(ctx, host.Address, pipeline, request, each)
		if err == nil && answer.Reason == reason.MissingKey.String() {
			return c.Command(ctx, pipeline, request)
		}
		if err == nil && !again(answer) {
			return answer, nil
		}
		if ctx.Err() != nil {
			return answer, err
		}
		c.forget()
	}
	return answer, err
}

// again reports whether another host may do better: the refusal says that nothing ran and
// that the cause lies with the host.
func again(answer wire.Answer) bool {
	o, _ := outcome.Parse(answer.Outcome)
	why, _ := reason.Parse(answer.Reason)
	return o == outcome.NotRun && (why == reason.Draining || why == reason.Joining || why == reason.HostPaused)
}

// forget drops the kept address answer.
func (c *Client) forget() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expiry = time.Time{}
}

func (c *Client) send(ctx context.Context, address, pipeline string, request wire.Request, each func(wire.Token)) (answer wire.Answer, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return answer, err
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.PathPipelines+url.PathEscape(pipeline), bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	// Without GetBody the transport never sends a request twice by itself.
	post.GetBody = nil
	post.Header.Set("Content-Type", wire.ContentTypeJSON)
	if each != nil {
		post.Header.Set("Accept", wire.ContentTypeEvents)
	}
	response, err := c.client.Do(post)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if strings.HasPrefix(response.Header.Get("Content-Type"), wire.ContentTypeEvents) {
		return readEvents(response.Body, each)
	}
	return answer, json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&answer)
}

func readEvents(body io.Reader, each func(wire.Token)) (answer wire.Answer, err error) {
	data, err := sse.ReadUntil(body, maxAnswer, wire.EventToken, wire.EventEnd, func(data []byte) error {
		var token wire.Token
		if err := json.Unmarshal(data, &token); err != nil {
			return err
		}
		each(token)
		return nil
	})
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(data, &answer)
}
