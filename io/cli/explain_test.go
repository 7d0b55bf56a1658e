package cli_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasward/io/cli"
)

const explainLog = `   1.20 e2 {"ts":"2026-01-01 00:00:02","msg":"dispatching host silent","event":1803,"request":"r1","pool":"p@","host":"e3"}
not a log line with r1
   1.10 e1 {"ts":"2026-01-01 00:00:01","msg":"request repeated","event":1303,"request":"r12","pool":"p"}
   2.00 e2 {"ts":"2026-01-01 00:00:03","msg":"request ended","event":1302,"request":"r1","route":"chat","status":503,"reason":"late","detail":"backlog","version":7,"elapsed":12,"trail":"0ms door: in time 2100ms; 1ms refused"}
`

// TestExplain guards against a refusal whose cause explain does not print, and against lines
// of other requests in the output. The log lines stay as they are, because explain has to read
// the logs of older builds.
func TestExplain(t *testing.T) {
	is := is.New(t)
	var out, errOut bytes.Buffer
	code := cli.Run(context.Background(), []string{"explain", "r1"}, strings.NewReader(explainLog), &out, &errOut)
	is.Equal(code, 0)
	is.Equal(out.String(), `cause: status 503, reason late backlog (host e2, configuration 7, 12 ms)
2026-01-01 00:00:02 e2 dispatching host silent pool=p@
2026-01-01 00:00:03 e2 request ended route=chat
    0ms door: in time 2100ms
    1ms refused
`)
	code = cli.Run(context.Background(), []string{"explain", "unknown"}, strings.NewReader(explainLog), &out, &errOut)
	is.Equal(code, 1)
	is.True(strings.Contains(errOut.String(), "no log line"))
}
