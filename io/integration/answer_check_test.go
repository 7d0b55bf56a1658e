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

// told is what a caller was told in the end about one action.
type callerResult struct {
	// mark is unique to the action and part of its input and output.
	marker   string
	pipeline string
	key      string
	answer   wire.Answer
	// lost is true if no send got an answer.
	noAnswer bool
}

// judge compares what callers were told with the ledgers of the targets.
type answerChecker struct {
	mutex   sync.Mutex
	results []callerResult
}

func (c *answerChecker) add(result callerResult) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.results = append(c.results, result)
}

// check reports each broken invariant.
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
			t.Errorf("%s %s key %q was told %+v: %s", result.pipeline, result.marker, result.key, result.answer, problem)
		}
	}
}

// problem returns what is untrue about an answer; runs counts the runs of its key.
func (r callerResult) problem(runs int) string {
	if r.noAnswer {
		return ""
	}
	got, ok := outcome.Parse(r.answer.Outcome)
	switch {
	case !ok:
		return "the outcome is not one of the protocol"
	case got == outcome.Done && !strings.Contains(string(r.answer.Output), r.marker):
		return "the answer is not its own"
	case got == outcome.Done && r.key != "" && runs != 1:
		return fmt.Sprintf("done, but the key ran %d times", runs)
	case got == outcome.NotRun && r.key != "" && runs != 0:
		return fmt.Sprintf("not run, but the key ran %d times", runs)
	case got == outcome.Failed && r.key != "":
		return "no target reported a failure"
	}
	return ""
}

// counts returns how many actions were told each outcome and reason.
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

// rawCaller sends requests without the client library, so that the judge does not depend
// on it. After a broken connection it sends again through the next host.
type rawCaller struct {
	hosts  []string
	client *http.Client
}

// keys asks the host for command keys.
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

// send makes one send of the request to the host.
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

// act sends the request through the hosts, starting with the given one, until one answers.
func (c *rawCaller) sendUntilAnswered(ctx context.Context, first int, pipeline string, request wire.Request, sends int) (answer wire.Answer, lost bool) {
	for i := range sends {
		answer, err := c.send(ctx, c.hosts[(first+i)%len(c.hosts)], pipeline, request)
		if err == nil {
			return answer, false
		}
	}
	return wire.Answer{}, true
}
