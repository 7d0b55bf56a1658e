package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jessevdk/go-flags"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// errMistakes marks errors that end with the exit code for wrong input.
var errMistakes = errors.New("mistakes were found")

// environment is what subcommands need from the process.
type environment struct {
	ctx context.Context
	in  io.Reader
	out io.Writer
	err io.Writer
}

// log returns a logger that writes one JSON object a line; verbosity 1 includes details.
// Lines of several goroutines are written one after the other.
func (e *environment) log(verbosity int) logr.Logger {
	var mutex sync.Mutex
	return funcr.NewJSON(func(line string) {
		mutex.Lock()
		defer mutex.Unlock()
		_, _ = fmt.Fprintln(e.err, line)
	}, funcr.Options{LogTimestamp: true, Verbosity: verbosity})
}

// Run runs the program with the given arguments and returns its exit code.
func Run(ctx context.Context, arguments []string, in io.Reader, out, errOut io.Writer) int {
	e := &environment{ctx: ctx, in: in, out: out, err: errOut}
	parser := flags.NewNamedParser("sassafrasward", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Serving system for multi-stage model pipelines.\n\n" + exitHelp
	for _, c := range commands(e) {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.run); err != nil {
			_, _ = fmt.Fprintln(errOut, err)
			return exitUsage
		}
	}
	_, err := parser.ParseArgs(arguments)
	return e.exit(err)
}

func (e *environment) exit(err error) int {
	var wrong *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &wrong) && wrong.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(e.out, err)
		return exitOK
	case errors.As(err, &wrong), errors.Is(err, errMistakes):
		_, _ = fmt.Fprintln(e.err, err)
		return exitUsage
	default:
		_, _ = fmt.Fprintln(e.err, err)
		return exitFailed
	}
}

// command is the registry entry of one subcommand.
type command struct {
	name  string
	short string
	long  string
	run   flags.Commander
}

func commands(e *environment) []command {
	return []command{
		{"serve", "Run the daemon of an entry host", serveHelp, &serve{env: e}},
		{"edge", "Run an edge host on a platform that publishes routes", edgeHelp, &edgeServe{env: e}},
		{"check", "Check a settings file or a configuration", checkHelp, &check{env: e}},
		{"preset", "Print a configuration with another preset in force", presetHelp, &preset{env: e}},
		{"status", "Report the state of one host or of the fleet", statusHelp, &status{env: e}},
		{"call", "Run a pipeline as a caller", callHelp, &call{env: e}},
		{"explain", "Tell from logs what happened to one request", explainHelp, &explain{env: e}},
		{"replay", "Replay a recorded trace", replayHelp, &rerun{env: e}},
		{"demo", "Run the whole path in one process", demoHelp, &demonstrate{env: e}},
	}
}
