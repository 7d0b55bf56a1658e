package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	apiKey   = "k9dnn2ctnfzs989anu6ws"
	hostName = "pule25.example"
)

// routeOf returns a route of the configuration in JSON.
func routeOf(name, prefix, kind, service, rest string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"kind":%q,"service":%q,"public":false%s}`, name, hostName, prefix, kind, service, rest)
}

// plainRest has the other fields of a route for short requests.
const plainRest = `,"timeoutMs":4000,"sloMs":300,"priority":2,"maxAttempts":2`

// configOf returns a configuration with the routes and services.
func configOf(version int, services []string, routes ...string) string {
	var list []string
	for _, s := range services {
		list = append(list, fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false}`, s))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
		"tenants":[{"name":"bozi300","apiKeys":[%q],"priority":1}]}`, version, strings.Join(routes, ","), strings.Join(list, ","), apiKey)
}

// call is a request of a client and its end.
type call struct {
	id, host  string
	path      string
	sent, end time.Time
	// status is zero without an answer.
	status int
	body   string
	err    error
}

// lastCall numbers the requests.
var lastCall atomic.Int64

// client sends requests to hosts.
type client struct {
	http *http.Client

	mutex sync.Mutex
	calls []call
}

func newClient() *client {
	return &client{http: &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 8, DisableCompression: true,
	}}}
}

// send sends one request and records it.
func (c *client) send(h *host, method, path string, body []byte) call {
	n := call{id: fmt.Sprintf("%016x", lastCall.Add(1)), host: h.name, path: path}
	r, _ := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader(body))
	r.Host = hostName
	r.Header.Set("X-Request-Id", n.id)
	r.Header.Set("X-Api-Key", apiKey)
	r.Header.Set("X-Deadline-Ms", "4000")
	n.sent = time.Now()
	answer, err := c.http.Do(r)
	if err == nil {
		raw, readErr := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		n.status, n.body, err = answer.StatusCode, strings.TrimSpace(string(raw)), readErr
	}
	n.end, n.err = time.Now(), err
	c.mutex.Lock()
	c.calls = append(c.calls, n)
	c.mutex.Unlock()
	note("request %s to %s %s %s: %d %q %v", n.id, n.host, method, path, n.status, n.body, n.err)
	return n
}

// all returns the recorded requests.
func (c *client) all() []call {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.calls)
}

// traffic sends a request in each interval to the hosts in turn until the time.
func (c *client) traffic(to []*host, until time.Time, interval time.Duration, method, prefix string, body []byte) (done chan struct{}) {
	done = make(chan struct{})
	go func() {
		defer close(done)
		var running sync.WaitGroup
		for n := 0; time.Now().Before(until); n++ {
			h := to[n%len(to)]
			running.Go(func() { c.send(h, method, fmt.Sprintf("%s%d", prefix, n), body) })
			time.Sleep(interval)
		}
		running.Wait()
	}()
	return done
}
