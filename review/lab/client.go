package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Resolution is an answer of a directory.
type Resolution struct {
	Addresses []string `json:"addresses"`
	TTL       float64  `json:"ttlS"`
}

// Resolve asks the directory of a host which addresses to use.
func (h *Host) Resolve() (r Resolution, err error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.Directory + "/resolve?name=pule25.example&region=ch-mittelland&zone=" + h.zone)
	if err != nil {
		return r, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return r, fmt.Errorf("directory of %s: status %d", h.Name, response.StatusCode)
	}
	err = json.NewDecoder(response.Body).Decode(&r)
	h.lab.Record.Add("client: resolves at %s: %v for %v s", h.Name, r.Addresses, r.TTL)
	return r, err
}

// Request is a client's request.
type Request struct {
	Method, Path, Body string
	Deadline           time.Duration
	// Header has further headers.
	Header http.Header
}

// Result is how a request ended for the client.
type Result struct {
	ID string
	// Sent and Ended are times since the start of the case.
	Sent, Ended time.Duration
	// Status is zero if there was no complete answer; Err is the error then.
	Status int
	Header http.Header
	Body   string
	Err    error
}

var lastID atomic.Int64

// NewID returns the id of a client attempt.
func NewID() string { return fmt.Sprintf("%016x", 0x5a5a000000000000+lastID.Add(1)) }

// Connection is a client's kept connection.
type Connection struct{ transport *http.Transport }

// NewConnection returns a connection that is opened by the first request.
func NewConnection() *Connection {
	return &Connection{transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
}

// Close closes the connection.
func (c *Connection) Close() { c.transport.CloseIdleConnections() }

// Send sends a request on a new connection and waits for the answer until its deadline.
func (l *Lab) Send(front string, q Request) (result Result) {
	c := &Connection{transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	defer c.Close()
	return c.Send(l, front, q)
}

// Send sends a request and waits for the answer until its deadline.
func (c *Connection) Send(l *Lab, front string, q Request) (result Result) {
	result.ID = NewID()
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+front+q.Path, strings.NewReader(q.Body))
	if err != nil {
		result.Err = err
		return result
	}
	for name, values := range q.Header {
		r.Header[name] = values
	}
	r.Host = "pule25.example"
	r.Header.Set("X-Request-Id", result.ID)
	if r.Header.Get("X-Api-Key") == "" {
		r.Header.Set("X-Api-Key", Key)
	}
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	result.Sent = l.Record.Now()
	l.Record.Add("client: sends %s (%s %s) to %s", result.ID, q.Method, q.Path, front)
	response, err := c.transport.RoundTrip(r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		result.Body, result.Header = string(body), response.Header
		if err == nil {
			result.Status = response.StatusCode
		}
	}
	result.Err, result.Ended = err, l.Record.Now()
	if err != nil {
		l.Record.Add("client: %s ends without a complete answer after %.3f s: %v", result.ID, (result.Ended - result.Sent).Seconds(), err)
	} else {
		l.Record.Add("client: %s is answered %d after %.3f s", result.ID, result.Status, (result.Ended - result.Sent).Seconds())
	}
	return result
}

// Key is the API key of the only tenant.
const Key = "9dnn2ctnfzs989anu6ws"

// Tail is the end of a configuration: its limits and tenants.
const Tail = `"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["` + Key + `"],"priority":1}]}`
