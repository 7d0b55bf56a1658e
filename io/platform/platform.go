package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"sassafrasward/core/config"
	"sassafrasward/io/headcheck"
	"sassafrasward/io/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("platform")

// answerTimeout is the time that an answer may take beyond the requested wait.
const answerTimeout = 5 * time.Second

const maxHostListBytes = 4 << 20

// Client reads the configuration and the host list.
type Client struct {
	// base is the start of all URLs.
	base   string
	client *http.Client
	calls  metrics.Counter
}

// maxHeadBytes is the maximum size of the headers of an answer.
const maxHeadBytes = 64 << 10

func newTransport() http.RoundTripper {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = maxHeadBytes
	return headcheck.NewTransport(t)
}

// New returns a client of the platform at address. It counts its calls with calls.
func New(address string, calls metrics.Counter) *Client {
	return &Client{base: "http://" + address, client: &http.Client{Transport: newTransport()}, calls: calls}
}

// Config is a published configuration that has not been parsed yet.
type Config struct {
	version uint64
	raw     []byte
}

// Version returns the version number that the service assigned.
func (c Config) Version() uint64 { return c.version }

// Raw returns the unparsed document.
func (c Config) Raw() []byte { return c.raw }

// Config returns the published configuration if its version differs from after. It waits up to
// wait for such a version; changed reports whether there is one. A document over the size limit
// is truncated one byte after the limit, so that the validation of the document rejects it. An
// error would make the caller read it again and again.
func (c *Client) Config(ctx context.Context, after uint64, wait time.Duration) (cfg Config, changed bool, err error) {
	defer func() { err = Error.Wrap(err) }()
	body, header, changed, err := c.get(ctx, wire.PathConfig, after, wait, config.MaxBytes)
	if err != nil || !changed {
		return Config{}, false, err
	}
	version, err := strconv.ParseUint(header.Get(wire.HeaderVersion), 10, 64)
	if err != nil {
		return Config{}, false, err
	}
	return Config{version: version, raw: body}, true, nil
}

// Hosts returns the host list if its version differs from after. It waits up to wait for such a
// version; changed reports whether there is one. Entries that can't be decoded are left out.
func (c *Client) Hosts(ctx context.Context, after uint64, wait time.Duration) (list wire.HostList, changed bool, err error) {
	defer func() { err = Error.Wrap(err) }()
	body, _, changed, err := c.get(ctx, wire.PathHosts, after, wait, maxHostListBytes)
	if err != nil || !changed {
		return wire.HostList{}, false, err
	}
	if len(body) > maxHostListBytes {
		return wire.HostList{}, false, fmt.Errorf("host list is larger than %d bytes", maxHostListBytes)
	}
	list, err = decodeHosts(body)
	return list, err == nil, err
}

// get makes one long poll and returns up to limit+1 bytes of the answer. changed is false if the
// answer is 304 Not Modified.
func (c *Client) get(ctx context.Context, path string, after uint64, wait time.Duration, limit int64) (body []byte, header http.Header, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
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
	body, err = wire.ReadWhole(response, limit+1)
	if err != nil {
		return nil, nil, false, err
	}
	return body, response.Header, true, nil
}
