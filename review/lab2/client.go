package main

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"time"
)

// request is a request of a client.
type request struct {
	id, method, path string
	header           map[string]string
	body             []byte
	deadline         time.Duration
	// key is the key of the client; that of the first configuration if empty.
	key string
	// patience is how long a client of a stream waits for the next event; zero for the whole deadline.
	patience time.Duration
}

// answer is what a client saw of the answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	// complete is set if the end of the answer was marked as its framing demands.
	complete bool
	err      error
	elapsed  time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, signature %q, %d bytes, complete %t, error %v, after %d ms", a.status, a.header.Get("X-Response-Signature"), len(a.body), a.complete, a.err, a.elapsed.Milliseconds())
}

// events returns the ids of the whole events in the body of an answer.
func (a answer) events() (ids []string) {
	for event := range strings.SplitSeq(string(a.body), "\n\n") {
		if id, ok := strings.CutPrefix(strings.Split(event, "\n")[0], "id: "); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// text returns the request as it is sent.
func (q request) text() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: pule25.example\r\nX-Request-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.id, cmp.Or(q.key, apiKey), q.deadline.Milliseconds())
	names := make([]string, 0, len(q.header))
	for name := range q.header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&b, "%s: %s\r\n", name, q.header[name])
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	return b.Bytes()
}

// caller is a client with one connection.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a connection.
func connect(address string) (c *caller, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{conn, bufio.NewReader(conn)}, nil
}

// do sends a request and reads the answer. The connection may be used again after a complete answer. A client gives up
// once it has received nothing for its patience.
func (c *caller) do(q request) (a answer) {
	began := time.Now()
	a.header = http.Header{}
	defer func() { a.elapsed = time.Since(began) }()
	_ = c.conn.SetDeadline(began.Add(q.deadline))
	if _, a.err = c.conn.Write(q.text()); a.err != nil {
		return a
	}
	patience := func() {
		_ = c.conn.SetReadDeadline(time.Now().Add(min(q.deadline-time.Since(began), max(q.patience, time.Second))))
	}
	if q.patience > 0 {
		patience()
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = response.StatusCode, response.Header
	part := make([]byte, 4<<10)
	for err == nil {
		if q.patience > 0 {
			patience()
		}
		var n int
		n, err = response.Body.Read(part)
		a.body = append(a.body, part[:n]...)
	}
	if err != io.EOF {
		a.err = err
		return a
	}
	a.complete = true
	return a
}

// send sends a request on a connection of its own.
func send(address string, q request) (a answer) {
	c, err := connect(address)
	if err != nil {
		return answer{header: http.Header{}, err: err}
	}
	defer func() { _ = c.conn.Close() }()
	return c.do(q)
}
