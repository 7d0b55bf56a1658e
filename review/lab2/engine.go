package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// engineProcess serves as one engine. What it runs is written to the standard output.
type engineProcess struct {
	id, mode string
	rate     int

	mutex sync.Mutex
	out   *json.Encoder
}

// engineEvent is a line of the output of an engine.
type engineEvent struct {
	Event  string `json:"event"`
	ID     string `json:"id"`
	Detail string `json:"detail"`
}

func serveEngine(args []string) (err error) {
	e := &engineProcess{out: json.NewEncoder(os.Stdout)}
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	address := flags.String("listen", "", "address")
	flags.StringVar(&e.id, "id", "", "id of the engine")
	flags.StringVar(&e.mode, "mode", "sound", "sound, unframed, endless-event or endless-head")
	flags.IntVar(&e.rate, "rate", 128<<10, "bytes a second that an endless answer has")
	if err := flags.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", *address)
	if err != nil {
		return err
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go e.serve(conn)
	}
}

func (e *engineProcess) record(event, id, detail string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_ = e.out.Encode(engineEvent{event, id, detail})
}

// serve serves the requests of one connection.
func (e *engineProcess) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !e.answer(conn, r, body) {
			return
		}
	}
}

// reply writes an answer with a length.
func reply(conn net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
	return err == nil
}

// answer answers a request, and reports whether the connection stays open.
func (e *engineProcess) answer(conn net.Conn, r *http.Request, body []byte) (open bool) {
	id := r.Header.Get("X-Request-Id")
	echo := ""
	if id != "" {
		echo = "X-Request-Id: " + id + "\r\n"
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		return reply(conn, http.StatusMisdirectedRequest, echo+"X-Not-Executed: 1\r\n", "")
	}
	switch r.URL.Path {
	case "/healthz":
		e.record("health", "", "")
		return reply(conn, http.StatusOK, "X-Instance-Id: "+e.id+"\r\n", "")
	}
	signed := echo + "X-Response-Signature: sig." + id + "\r\n"
	events, _ := strconv.Atoi(r.URL.Query().Get("events"))
	e.record("run", id, fmt.Sprintf("%s %s, %d bytes of body, deadline %s", r.Method, r.RequestURI, len(body), r.Header.Get("X-Deadline-Ms")))
	if events == 0 {
		work, _ := time.ParseDuration(r.URL.Query().Get("work"))
		time.Sleep(work)
		return reply(conn, http.StatusOK, signed, "whole answer to "+id)
	}
	gap, _ := time.ParseDuration(r.URL.Query().Get("gap"))
	return e.stream(conn, id, signed, events, gap)
}

// endlessParts is the number of parts a second in which bytes without end are sent.
const endlessParts = 20

// endlessHead writes a head that does not end until the caller closes the connection.
func (e *engineProcess) endlessHead(conn net.Conn, id string) (open bool) {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n")
	for n := 0; err == nil; {
		var part bytes.Buffer
		for ; part.Len() < e.rate/endlessParts; n++ {
			fmt.Fprintf(&part, "%s:\n", strconv.FormatInt(int64(1296+n%45000), 36))
		}
		_, err = conn.Write(part.Bytes())
		time.Sleep(time.Second / endlessParts)
	}
	e.record("closed", id, "")
	return false
}

// stream writes a series of events, or in the mode endless bytes that are none.
func (e *engineProcess) stream(conn net.Conn, id, signed string, events int, gap time.Duration) (open bool) {
	if e.mode == "endless-head" {
		return e.endlessHead(conn, id)
	}
	framing := "Transfer-Encoding: chunked\r\n"
	if e.mode == "unframed" {
		framing = "Connection: close\r\n"
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n%s\r\n", signed, framing); err != nil {
		return false
	}
	write := func(b []byte) bool {
		var err error
		if e.mode == "unframed" {
			_, err = conn.Write(b)
		} else {
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(b), b)
		}
		return err == nil
	}
	if e.mode == "endless-event" {
		part := bytes.Repeat([]byte{'x'}, e.rate/endlessParts)
		for write(part) {
			time.Sleep(time.Second / endlessParts)
		}
		e.record("closed", id, "")
		return false
	}
	for n := 1; n <= events; n++ {
		if !write(fmt.Appendf(nil, "id: %d\ndata: piece %d of %d\n\n", n, n, events)) {
			e.record("closed", id, fmt.Sprintf("after %d of %d events", n-1, events))
			return false
		}
		if n < events {
			time.Sleep(gap)
		}
	}
	e.record("whole", id, fmt.Sprintf("%d events", events))
	if e.mode == "unframed" {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
