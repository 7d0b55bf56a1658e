package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"sassafrasward/core/config"
	"sassafrasward/io/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("platform")

// slack is the time that an answer may take beyond the requested wait.
const slack = 5 * time.Second

// maxHosts bounds the size of a host list in bytes.
const maxHosts = 4 << 20

// Client reads the platform.
type Client struct {
	base   string
	client *http.Client
	calls  metrics.Counter
}

// New returns a client of the platform at address that counts its calls.
func New(address string, calls metrics.Counter) *Client {
	return &Client{base: "http://" + address, client: &http.Client{}, calls: calls}
}

// Config is a published configuration as read.
type Config struct {
	number uint64
	raw    []byte
}

// Number returns the version number that the service gave.
func (c Config) Version() uint64 { return c.number }

// Raw returns the bytes of the document.
func (c Config) Raw() []byte { return c.raw }

// Config returns the published configuration if its number differs from after, waiting up
// to wait for one. The flag reports whether there is one. A document over the size limit is
// cut one byte after it, which the check of the document refuses; as an error it would be
// read again and again.
func (c *Client) Config(ctx context.Context, after uint64, wait time.Duration) (cfg Config, changed bool, err error) {
	defer func() { err = Error.Wrap(err) }()
	body, header, changed, err := c.get(ctx, wire.PathConfig, after, wait, config.MaxBytes)
	if err != nil || !changed {
		return Config{}, false, err
	}
	number, err := strconv.ParseUint(header.Get(wire.HeaderVersion), 10, 64)
	if err != nil {
		return Config{}, false, err
	}
	return Config{number: number, raw: body}, true, nil
}

// Hosts returns the host list if its version differs from after, waiting up to wait.
func (c *Client) Hosts(ctx context.Context, after uint64, wait time.Duration) (list wire.HostList, changed bool, err error) {
	defer func() { err = Error.Wrap(err) }()
	body, _, changed, err := c.get(ctx, wire.PathHosts, after, wait, maxHosts)
	if err != nil || !changed {
		return wire.HostList{}, false, err
	}
	if len(body) > maxHosts {
		return wire.HostList{}, false, fmt.Errorf("host list is larger than %d bytes", maxHosts)
	}
	err = json.Unmarshal(body, &list)
	return list, err == nil, err
}

// get returns up to limit+1 bytes of the answer.
func (c *Client) get(ctx context.Context, path string, after uint64, wait time.Duration, limit int64) (body []byte, header http.Header, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	query := url.Values{
		"after": {strconv.FormatUint(after, 10)},
		"wait":  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, nil, false, err
	}
	c.calls.Inc(1)
	response, err := c.client.Do(request)
	if err != nil {
		return nil, nil, false, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return nil, nil, false, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, nil, false, fmt.Errorf("status %d", response.StatusCode)
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, nil, false, err
	}
	return body, response.Header, true, nil
}
