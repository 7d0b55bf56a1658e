package cli

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// explainCommand prints what happened to one request according to the logs of several hosts.
type explainCommand struct {
	env  *environment
	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"true" description:"id of the request"`
		Files   []string `positional-arg-name:"FILE" description:"log files; the standard input if none is given"`
	} `positional-args:"true"`
}

// logLine is a log line that names the request.
type logLine struct {
	time, host, message string
	// final is true for a line with a status, which reports how the request ended.
	final  bool
	fields map[string]any
}

// Execute implements flags.Commander.
func (e *explainCommand) Execute([]string) error {
	var lines []logLine
	if len(e.Args.Files) == 0 {
		lines = findLines(e.env.in, "", e.Args.Request)
	}
	for _, name := range e.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		lines = append(lines, findLines(f, name, e.Args.Request)...)
		if err := f.Close(); err != nil {
			return err
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log line names the request %s", e.Args.Request)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	return writeExplanation(e.env.out, lines)
}

// findLines returns the lines of a log that name the request. A line may have a prefix before
// its JSON object; the last word of the prefix is the host.
func findLines(r io.Reader, host, request string) (lines []logLine) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		prefix, raw, ok := strings.Cut(scanner.Text(), "{")
		if !ok || !strings.Contains(raw, request) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte("{"+raw), &fields) != nil || fields["request"] != request {
			continue
		}
		if words := strings.Fields(prefix); len(words) > 0 {
			host = words[len(words)-1]
		}
		line := logLine{host: host, fields: fields}
		line.time, _ = fields["ts"].(string)
		line.message, _ = fields["msg"].(string)
		_, line.final = fields["status"]
		lines = append(lines, line)
	}
	return lines
}

// writeExplanation writes the cause first, then the lines in order. The field trail of a line
// has the steps that the host took with the request, separated by semicolons; each is written
// on a line of its own.
func writeExplanation(w io.Writer, lines []logLine) error {
	var b strings.Builder
	for _, l := range lines {
		if l.final {
			fmt.Fprintf(&b, "cause: status %v, reason %v %v (host %s, configuration %v, %v ms)\n",
				l.fields["status"], l.fields["reason"], l.fields["detail"], l.host, l.fields["version"], l.fields["elapsed"])
		}
	}
	for _, l := range lines {
		fmt.Fprintf(&b, "%s %s %s", l.time, l.host, l.message)
		for _, key := range []string{"route", "workspace", "pool", "target", "cause", "error"} {
			if v, ok := l.fields[key]; ok && v != "" {
				fmt.Fprintf(&b, " %s=%v", key, v)
			}
		}
		b.WriteByte('\n')
		trail, _ := l.fields["trail"].(string)
		for step := range strings.SplitSeq(trail, "; ") {
			if step != "" {
				b.WriteString("    " + step + "\n")
			}
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}
