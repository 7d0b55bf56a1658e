package integration_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"sassafrasward/core/outcome"
	"sassafrasward/io/standin"
	"sassafrasward/io/wire"
)

// callerResult is the final result of one action as its caller saw it.
type callerResult struct {
	// marker is unique to the action and part of its input and output.
	marker   string
	pipeline string
	key      string
	answer   wire.Answer
	// noAnswer is true if none of the attempts got a response.
	noAnswer bool
}

// answerChecker compares the answers that callers got with the run records of the targets.
type answerChecker struct {
	mutex   sync.Mutex
	results []callerResult
}

func (c *answerChecker) add(result callerResult) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.results = append(c.results, result)
}

// check reports each result that contradicts the run records, and each key that ran more than
// once.
func (c *answerChecker) check(t *testing.T, records []standin.RunRecord) {
	t.Helper()
	runs := make(map[string]int)
	for _, e := range records {
		if e.Key != "" {
			runs[e.Key]++
		}
	}
	for key, n := range runs {
		if n > 1 {
			t.Errorf("key %s ran %d times", key, n)
		}
	}
	for _, result := range c.results {
		if problem := result.problem(runs[result.key]); problem != "" {
			t.Errorf("%s %s key %q was answered %+v: %s", result.pipeline, result.marker, result.key, result.answer, problem)
		}
	}
}

// problem returns how the answer contradicts the run records, or "" if it does not. The
// parameter runs is the number of runs of its key.
func (r callerResult) problem(runs int) string {
	if r.noAnswer {
		return ""
	}
	got, ok := outcome.Parse(r.answer.Outcome)
	switch {
	case !ok:
		return "unknown outcome"
	case got == outcome.Done && !strings.Contains(string(r.answer.Output), r.marker):
		return "the output belongs to another request"
	case got == outcome.Done && r.key != "" && runs != 1:
		return fmt.Sprintf("done, but the key ran %d times", runs)
	case got == outcome.NotRun && r.key != "" && runs != 0:
		return fmt.Sprintf("not run, but the key ran %d times", runs)
	case got == outcome.Failed && r.key != "":
		return "failed, but no target reported a failure"
	}
	return ""
}

// counts returns the number of actions by pipeline, outcome and reason.
func (c *answerChecker) counts() map[string]int {
	counts := make(map[string]int)
	for _, result := range c.results {
		label := strings.TrimSpace(result.answer.Outcome + " " + result.answer.Reason)
		if result.noAnswer {
			label = "lost"
		}
		counts[result.pipeline+" "+label]++
	}
	return counts
}

// rawCaller sends requests without the client library, so that the checks do not depend on
// that library. After a broken connection it retries through the next host.
type rawCaller struct {
	hosts  []string
	client *http.Client
}

// keys requests n command keys from the host.
func (c *rawCaller) keys(ctx context.Context, host string, n int) (keys []string, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?workspace=thun&keys=%d", host, wire.PathAddresses, n), nil)
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer wire.Addresses
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer.Keys, err
}

// send sends the request to the host once, without retries.
func (c *rawCaller) send(ctx context.Context, host, pipeline string, request wire.Request) (answer wire.Answer, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return answer, err
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+wire.PathPipelines+pipeline, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	post.GetBody = nil
	response, err := c.client.Do(post)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, err
}

// sendUntilAnswered sends the request to one host after the other, beginning with index first,
// until one answers; it makes at most the given number of sends.
func (c *rawCaller) sendUntilAnswered(ctx context.Context, first int, pipeline string, request wire.Request, sends int) (answer wire.Answer, lost bool) {
	for i := range sends {
		answer, err := c.send(ctx, c.hosts[(first+i)%len(c.hosts)], pipeline, request)
		if err == nil {
			return answer, false
		}
	}
	return wire.Answer{}, true
}
