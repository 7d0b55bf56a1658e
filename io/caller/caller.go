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
	"sassafrasward/io/headcheck"
	"sassafrasward/io/sse"
	"sassafrasward/io/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("caller")

const (
	maxAnswerBytes = 16 << 20 // bytes
	maxAttempts    = 4
	// maxRefreshAttempts and refreshDelay bound how long a client waits for hosts that are
	// still joining.
	maxRefreshAttempts = 50
	refreshDelay       = 100 * time.Millisecond
)

// Client sends requests to the system. It is safe for concurrent use.
type Client struct {
	seeds  []string
	zone   string
	client *http.Client

	mutex sync.Mutex
	// hosts has the hosts of the last address answer, cached until expiry.
	hosts  []wire.Host
	expiry time.Time
}

// Option configures a Client.
type Option func(*Client)

// WithZone sets the caller's availability zone.
func WithZone(zone string) Option { return func(c *Client) { c.zone = zone } }

// New returns a client that discovers entry hosts through the seed addresses.
func New(seeds []string, options ...Option) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	c := &Client{seeds: seeds, client: &http.Client{Transport: headcheck.NewTransport(transport)}}
	for _, o := range options {
		o(c)
	}
	return c
}

// Hosts returns the hosts to send requests to. It fetches a new address answer if the cached
// one has expired.
func (c *Client) Hosts(ctx context.Context) (hosts []wire.Host, err error) {
	defer func() { err = Error.Wrap(err) }()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.hosts) > 0 && time.Now().Before(c.expiry) {
		return c.hosts, nil
	}
	for range maxRefreshAttempts {
		if err = c.refresh(ctx); err == nil {
			return c.hosts, nil
		}
		select {
		case <-time.After(refreshDelay):
		case <-ctx.Done():
			return nil, errs.Combine(err, ctx.Err())
		}
	}
	return nil, err
}

// refresh asks the known hosts, then the seeds, until one returns an address answer that names
// a host. The caller holds the mutex.
func (c *Client) refresh(ctx context.Context) error {
	var group errs.Group
	for _, address := range append(addresses(c.hosts), c.seeds...) {
		answer, err := c.fetchAddresses(ctx, address, 0, "")
		if err != nil || len(answer.Hosts) == 0 {
			group.Add(err)
			continue
		}
		c.setHostsLocked(answer)
		return nil
	}
	return errs.Combine(errs.New("no host returned the address of a host to use"), group.Err())
}

// setHostsLocked replaces the cached address answer. The caller holds the mutex.
func (c *Client) setHostsLocked(answer wire.Addresses) {
	c.hosts = answer.Hosts
	c.expiry = time.Now().Add(time.Duration(answer.Lifetime) * time.Millisecond)
}

// setHosts replaces the cached address answer.
func (c *Client) setHosts(answer wire.Addresses) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setHostsLocked(answer)
}

func addresses(hosts []wire.Host) (list []string) {
	for _, h := range hosts {
		list = append(list, h.Address)
	}
	return list
}

func (c *Client) fetchAddresses(ctx context.Context, address string, keys int, workspace string) (answer wire.Addresses, err error) {
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
	return answer, json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer)
}

// Call runs a pipeline and returns its answer. If onToken is not nil, it is called with each
// streamed token. A request with a key, or one that a host refuses because it lacks a key, is
// passed to Command.
func (c *Client) Call(ctx context.Context, pipeline string, request wire.Request, onToken func(wire.Token)) (answer wire.Answer, err error) {
	defer func() { err = Error.Wrap(err) }()
	if request.Key != "" {
		return c.Command(ctx, pipeline, request)
	}
	hosts, err := c.Hosts(ctx)
	if err != nil {
		return answer, err
	}
	for attempt := range maxAttempts {
		host := hosts[attempt%len(hosts)]
		answer, err = c.send(ctx, host.Address, pipeline, request, onToken)
		if err == nil && answer.Reason == reason.MissingKey.String() {
			return c.Command(ctx, pipeline, request)
		}
		if err == nil && !retryOnOtherHost(answer) {
			return answer, nil
		}
		if ctx.Err() != nil {
			return answer, err
		}
		c.expireHosts()
	}
	return answer, err
}

// retryOnOtherHost reports whether another host may accept the request: nothing ran, and the
// reason for the refusal is the state of the host.
func retryOnOtherHost(answer wire.Answer) bool {
	o, _ := outcome.Parse(answer.Outcome)
	why, _ := reason.Parse(answer.Reason)
	return o == outcome.NotRun && (why == reason.Draining || why == reason.Joining || why == reason.HostPaused)
}

// expireHosts makes the next use of the cached address answer fetch a new one.
func (c *Client) expireHosts() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expiry = time.Time{}
}

func (c *Client) send(ctx context.Context, address, pipeline string, request wire.Request, onToken func(wire.Token)) (answer wire.Answer, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return answer, err
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.PathPipelines+url.PathEscape(pipeline), bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	// Without GetBody the HTTP transport cannot resend the request on its own.
	post.GetBody = nil
	post.Header.Set("Content-Type", wire.ContentTypeJSON)
	if onToken != nil {
		post.Header.Set("Accept", wire.ContentTypeEvents)
	}
	response, err := c.client.Do(post)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if strings.HasPrefix(response.Header.Get("Content-Type"), wire.ContentTypeEvents) {
		return readEvents(response.Body, onToken)
	}
	return answer, json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer)
}

func readEvents(body io.Reader, onToken func(wire.Token)) (answer wire.Answer, err error) {
	data, err := sse.ReadUntil(body, maxAnswerBytes, wire.EventToken, wire.EventEnd, func(data []byte) error {
		var token wire.Token
		if err := json.Unmarshal(data, &token); err != nil {
			return err
		}
		onToken(token)
		return nil
	})
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(data, &answer)
}
