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

// explain tells the story of one request from the logs of several hosts.
type explain struct {
	env  *environment
	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"true" description:"id of the request"`
		Files   []string `positional-arg-name:"FILE" description:"log files; the standard input if none is given"`
	} `positional-args:"true"`
}

// story is a log line that names the request.
type story struct {
	time, host, message string
	// final holds for the line that tells how the request ended.
	final  bool
	fields map[string]any
}

// Execute implements flags.Commander.
func (e *explain) Execute([]string) error {
	var lines []story
	if len(e.Args.Files) == 0 {
		lines = find(e.env.in, "", e.Args.Request)
	}
	for _, name := range e.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		lines = append(lines, find(f, name, e.Args.Request)...)
		if err := f.Close(); err != nil {
			return err
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log line names the request %s", e.Args.Request)
	}
	slices.SortStableFunc(lines, func(a, b story) int { return cmp.Compare(a.time, b.time) })
	return tell(e.env.out, lines)
}

// find returns the lines of a log that name the request. A line may have a prefix before its
// JSON object, of which the last word is the host.
func find(r io.Reader, host, request string) (lines []story) {
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
		s := story{host: host, fields: fields}
		s.time, _ = fields["ts"].(string)
		s.message, _ = fields["msg"].(string)
		_, s.final = fields["status"]
		lines = append(lines, s)
	}
	return lines
}

// tell writes the cause first, then the lines in order.
func tell(w io.Writer, lines []story) error {
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
