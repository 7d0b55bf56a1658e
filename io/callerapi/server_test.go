package callerapi_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasward/core/config"
	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/io/callerapi"
	"sassafrasward/io/metric"
	"sassafrasward/io/runner"
	"sassafrasward/io/view"
	"sassafrasward/io/wire"
)

const (
	bodyLimit      = 256 // bytes
	configDocument = `
[document]
preset = ordinary
[preset ordinary]
[preset maintenance]
accept = false
[workspace thun]
share = 1
[pool services]
kind = service
[stage read]
pool = services
[stage write]
pool = services
command = true
[pipeline lookup]
stages = read
deadline = 1s
[pipeline deposit]
stages = write
deadline = 1s
`
)

// fakeRunner counts the requests that pass validation.
type fakeRunner struct {
	requests int
	// stream makes a request write tokens until a write fails.
	stream bool
}

func (f *fakeRunner) Run(_ context.Context, request runner.Request) wire.Answer {
	f.requests++
	for i := 0; f.stream; i++ {
		if err := request.TokenFunc()(wire.Token{Index: i, Text: "token"}); err != nil {
			return wire.Answer{Outcome: outcome.Failed.String(), Reason: reason.CallerGone.String()}
		}
	}
	return wire.Answer{Outcome: outcome.Done.String()}
}

// serve runs a server on the loopback interface with the given preset and refusal.
func serve(t *testing.T, e *fakeRunner, preset string, refusal reason.Reason, options ...callerapi.Option) (base string, m *metric.Metrics) {
	t.Helper()
	return serveView(t, e, preset, refusal, nil, options...)
}

// serveView is serve with options of the view.
func serveView(t *testing.T, e *fakeRunner, preset string, refusal reason.Reason, viewOptions []view.Option, options ...callerapi.Option) (base string, m *metric.Metrics) {
	t.Helper()
	d, err := config.Parse([]byte(strings.Replace(configDocument, "preset = ordinary", "preset = "+preset, 1)))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	views, m := view.NewHolder(), metric.New()
	views.Publish(view.New(d, config.VersionOf(1, d), nil, refusal, viewOptions...))
	s := callerapi.New(wire.Host{}, views, e, m, append(options, callerapi.WithMaxBody(bodyLimit))...)
	done := make(chan error, 1)
	go s.Serve(listener, done)
	t.Cleanup(func() {
		if err := errors.Join(s.Shutdown(context.Background()), <-done); err != nil {
			t.Error(err)
		}
	})
	return "http://" + listener.Addr().String(), m
}

// TestInvalidRequests guards against an invalid request that is run, that is not refused with the
// outcome not-run and the right reason, or that is not counted.
func TestInvalidRequests(t *testing.T) {
	const good = `{"workspace":"thun","input":1}`
	for name, c := range map[string]struct {
		method, path, body string
		want               reason.Reason
	}{
		"unknown pipeline":    {path: "absent", body: good, want: reason.UnknownPipeline},
		"unknown workspace":   {path: "lookup", body: `{"workspace":"x","input":1}`, want: reason.UnknownWorkspace},
		"unknown field":       {path: "lookup", body: `{"workspace":"thun","input":1,"x":1}`, want: reason.InvalidField},
		"wrong type":          {path: "lookup", body: `{"workspace":7,"input":1}`, want: reason.InvalidField},
		"missing input":       {path: "lookup", body: `{"workspace":"thun"}`, want: reason.InvalidField},
		"deadline too long":   {path: "lookup", body: `{"workspace":"thun","input":1,"deadline":1001}`, want: reason.InvalidField},
		"negative deadline":   {path: "lookup", body: `{"workspace":"thun","input":1,"deadline":-1}`, want: reason.InvalidField},
		"negative size":       {path: "lookup", body: `{"workspace":"thun","input":1,"size":-1}`, want: reason.InvalidField},
		"no key":              {path: "deposit", body: good, want: reason.MissingKey},
		"oversize":            {path: "lookup", body: `{"workspace":"thun","input":"` + strings.Repeat("x", bodyLimit) + `"}`, want: reason.BodyTooLarge},
		"oversize after body": {path: "lookup", body: good + strings.Repeat(" ", bodyLimit), want: reason.BodyTooLarge},
		"trailing data":       {path: "lookup", body: good + `{}`, want: reason.Malformed},
		"trailing bracket":    {path: "lookup", body: good + `]`, want: reason.Malformed},
		"not JSON":            {path: "lookup", body: `workspace`, want: reason.Malformed},
		"not an object":       {path: "lookup", body: `[1]`, want: reason.Malformed},
		"null":                {path: "lookup", body: `null`, want: reason.Malformed},
		"empty":               {path: "lookup", body: ``, want: reason.Malformed},
		"cut":                 {path: "lookup", body: good[:20], want: reason.Malformed},
		"wrong method":        {method: http.MethodPut, path: "lookup", body: good, want: reason.UnknownEndpoint},
		"wrong path":          {path: "/v1/lookup", body: good, want: reason.UnknownEndpoint},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &fakeRunner{}
			base, m := serve(t, e, "ordinary", reason.None)
			if c.method == "" {
				c.method = http.MethodPost
			}
			if !strings.HasPrefix(c.path, "/") {
				c.path = wire.PathPipelines + c.path
			}
			status, answer := send(t, c.method, base+c.path, c.body)
			is.Equal(answer.Reason, c.want.String())
			is.Equal(answer.Outcome, outcome.NotRun.String())
			is.Equal(status, c.want.Entry().Status())
			is.Equal(m.Values()["refusal."+c.want.String()], int64(1))
			is.Equal(e.requests, 0)
		})
	}
}

// TestRefusal guards against a host that runs requests while it joins or while the active preset
// accepts none.
func TestRefusal(t *testing.T) {
	for name, c := range map[string]struct {
		preset  string
		refusal reason.Reason
		want    reason.Reason
	}{
		"joining": {preset: "ordinary", refusal: reason.Joining, want: reason.Joining},
		"closed":  {preset: "maintenance", want: reason.PresetClosed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &fakeRunner{}
			base, _ := serve(t, e, c.preset, c.refusal)
			_, answer := send(t, http.MethodPost, base+wire.PathPipelines+"lookup", `{"workspace":"thun","input":1}`)
			is.Equal(answer.Reason, c.want.String())
			is.Equal(answer.Outcome, outcome.NotRun.String())
			is.Equal(e.requests, 0)
		})
	}
}

// TestRequestBeyondStop guards against a request that a stopping host takes although it may be cut off at
// the limit of the stop, and against one that is refused although it ends before.
func TestRequestBeyondStop(t *testing.T) {
	is := is.New(t)
	e := &fakeRunner{}
	base, _ := serveView(t, e, "ordinary", reason.Draining, []view.Option{view.WithStop(time.Now().Add(900 * time.Millisecond))})
	_, answer := send(t, http.MethodPost, base+wire.PathPipelines+"lookup", `{"workspace":"thun","input":1}`) // 1 s
	is.Equal(answer.Outcome+" "+answer.Reason, "not-run draining")
	is.Equal(e.requests, 0)
	_, answer = send(t, http.MethodPost, base+wire.PathPipelines+"lookup", `{"workspace":"thun","input":1,"deadline":200}`)
	is.Equal(answer.Outcome, outcome.Done.String())
}

func send(t *testing.T, method, url, body string) (status int, answer wire.Answer) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, answer
}

// TestStalledCaller guards against a caller that stops sending in the middle of its body, or stops
// reading its stream, and thereby keeps a request open until the drain timeout.
func TestStalledCaller(t *testing.T) {
	for name, c := range map[string]struct {
		request  string
		requests int
	}{
		"half a body":     {request: "Content-Length: 100\r\n\r\n{", requests: 0},
		"stream not read": {request: "Accept: text/event-stream\r\nContent-Length: 30\r\n\r\n" + `{"workspace":"thun","input":1}`, requests: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &fakeRunner{stream: true}
			base, m := serve(t, e, "ordinary", reason.None, callerapi.WithTimeouts(time.Millisecond, time.Millisecond))
			conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write([]byte("POST " + wire.PathPipelines + "lookup HTTP/1.1\r\nHost: x\r\n" + c.request))
			is.NoErr(err)
			for len(m.Values()) == 0 { // until the request ends
				time.Sleep(time.Millisecond)
			}
			is.Equal(e.requests, c.requests)
		})
	}
}

// FuzzDecode guards against a panic and against accepting a body that is not exactly one JSON
// object.
func FuzzDecode(f *testing.F) {
	f.Add(`{"workspace":"thun","input":{"a":[1]},"deadline":5,"key":"k","prefix":"p","size":2}`)
	f.Add(`{"workspace":"thun"}{}`)
	f.Add(`null`)
	f.Fuzz(func(t *testing.T, body string) {
		_, why, detail := callerapi.Decode(strings.NewReader(body))
		if why != reason.None {
			if detail == "" || why.Entry().Outcome() != outcome.NotRun {
				t.Fatalf("%s %q", why, detail)
			}
			return
		}
		var object map[string]json.RawMessage
		if err := json.Unmarshal([]byte(body), &object); err != nil || object == nil {
			t.Fatalf("%q accepted: %v", body, err)
		}
	})
}
