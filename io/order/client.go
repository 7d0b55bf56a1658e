package order

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"sassafrasward/core/order"
	"sassafrasward/io/headcheck"
	"sassafrasward/io/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("order")

// ErrFenced is returned if an engine refused an order because of its old fencing token.
var ErrFenced = errs.New("the engine holds an order with a newer fencing token")

const (
	callTimeout      = 2 * time.Second
	maxResponseBytes = 1 << 20
	// maxHeadBytes is the maximum size of the headers of a response.
	maxHeadBytes = 64 << 10
)

// client reads reports from engines and sends orders to them over the target protocol.
type client struct {
	http *http.Client
}

func newClient() *client {
	// Each call uses a new connection: orders are rare, and a connection that was idle between
	// two time slots may be dead.
	transport := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	return &client{http: &http.Client{Transport: headcheck.NewTransport(transport)}}
}

// report returns the models and the role that the engine reports, and its fencing token.
func (c *client) report(ctx context.Context, address string) (report order.Report, err error) {
	defer func() { err = Error.Wrap(err) }()
	var answer wire.Report
	if err := c.call(ctx, http.MethodGet, address+wire.PathReport, nil, &answer); err != nil {
		return report, err
	}
	return order.NewReport(answer.Fence, answer.Models, answer.Role), nil
}

// send sends the order. The error is ErrFenced if the engine refuses the fencing token.
func (c *client) send(ctx context.Context, d order.Desired) (err error) {
	defer func() { err = Error.Wrap(err) }()
	body, err := json.Marshal(wire.Order{Fence: d.Fence(), Models: d.Models(), Role: d.Role()})
	if err != nil {
		return err
	}
	var answer wire.Order
	return c.call(ctx, http.MethodPost, d.Address()+wire.PathOrder, body, &answer)
}

func (c *client) call(ctx context.Context, method, url string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", wire.ContentTypeJSON)
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(answer)
	case http.StatusConflict:
		return ErrFenced
	default:
		return errs.New("unexpected response status %d", response.StatusCode)
	}
}
