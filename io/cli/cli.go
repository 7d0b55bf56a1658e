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

// errInvalidInput marks errors for which the program exits with exitUsage.
var errInvalidInput = errors.New("invalid input")

// environment has the context and the standard streams that subcommands use.
type environment struct {
	ctx context.Context
	in  io.Reader
	out io.Writer
	err io.Writer
}

// log returns a logger that writes one JSON object per line to the standard error stream;
// verbosity 1 includes details. A mutex keeps lines of several goroutines from interleaving.
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
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(e.out, err)
		return exitOK
	case errors.As(err, &flagsErr), errors.Is(err, errInvalidInput):
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
		{"serve", "Run the daemon of an entry host", serveHelp, &serveCommand{env: e}},
		{"edge", "Run an edge host on a platform that publishes routes", edgeHelp, &edgeCommand{env: e}},
		{"check", "Check a settings file or a configuration", checkHelp, &checkCommand{env: e}},
		{"preset", "Print a configuration with another active preset", presetHelp, &presetCommand{env: e}},
		{"status", "Report the state of one host or of the fleet", statusHelp, &statusCommand{env: e}},
		{"call", "Run a pipeline as a caller", callHelp, &callCommand{env: e}},
		{"explain", "Explain from logs what happened to one request", explainHelp, &explainCommand{env: e}},
		{"replay", "Replay a recorded trace", replayHelp, &replayCommand{env: e}},
		{"demo", "Run the whole system in one process", demoHelp, &demoCommand{env: e}},
	}
}
