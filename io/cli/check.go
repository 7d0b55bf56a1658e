package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"sassafrasward/core/config"
	"sassafrasward/io/setting"
)

// checkCommand validates a settings file and configurations.
type checkCommand struct {
	env       *environment
	Settings  string `long:"settings" description:"settings file of a host (INI)"`
	Config    string `long:"config" description:"published configuration (INI); - reads standard input"`
	Published string `long:"published" description:"configuration to publish on a platform with routes (JSON); - reads standard input"`
	InForce   string `long:"inforce" description:"configuration in force with which the one to publish is compared (JSON)"`
	Store     string `long:"store" description:"address of the metadata store from which the configuration in force is read"`
	JSON      bool   `long:"json" description:"print the findings of --published as JSON"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) (err error) {
	switch {
	case c.Settings == "" && c.Config == "" && c.Published == "":
		return &flags.Error{Type: flags.ErrRequired, Message: "one of --settings, --config and --published is required"}
	case c.Config == "-" && c.Published == "-":
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: "only one of --config and --published can read standard input"}
	case c.Published == "" && (c.InForce != "" || c.Store != "" || c.JSON):
		return &flags.Error{Type: flags.ErrRequired, Message: "--inforce, --store and --json need --published"}
	case c.InForce != "" && c.Store != "":
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: "--inforce and --store exclude each other"}
	}
	if c.Settings != "" {
		_, err = setting.Load(c.Settings)
		err = withFile(c.Settings, err)
	}
	if c.Config != "" {
		err = errors.Join(err, c.checkConfig())
	}
	if c.Published != "" {
		err = errors.Join(err, c.checkPublished())
	}
	return err
}

func (c *checkCommand) checkConfig() error {
	raw, err := readFile(c.env, c.Config)
	if err != nil {
		return err
	}
	_, err = config.Parse(raw)
	return withFile(c.Config, err)
}

// readFile returns the contents of the file, or of standard input for "-". It reads at most
// one byte more than the maximum size of a configuration, so that the parser refuses a larger
// one.
func readFile(env *environment, path string) (raw []byte, err error) {
	if path == "-" {
		return io.ReadAll(io.LimitReader(env.in, config.MaxBytes+1))
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, config.MaxBytes+1))
}

// diagnosticsError lists the diagnostics of one file. It matches errInvalidInput.
type diagnosticsError struct {
	lines []string
}

func (e *diagnosticsError) Error() string { return strings.Join(e.lines, "\n") }

// Is makes errors.Is match errInvalidInput.
func (e *diagnosticsError) Is(target error) bool { return target == errInvalidInput }

// diagnostic is the common interface of the diagnostics of settings and configurations.
type diagnostic interface {
	Section() string
	Key() string
	Value() string
	Allowed() string
}

// withFile returns the diagnostics in err as an error with the file name on each line, or err
// itself if it has no diagnostics.
func withFile(file string, err error) error {
	var documents config.Diagnostics
	var settings setting.Diagnostics
	e := &diagnosticsError{}
	switch {
	case errors.As(err, &documents):
		for _, d := range documents {
			e.add(file, d)
		}
	case errors.As(err, &settings):
		for _, d := range settings {
			e.add(file, d)
		}
	default:
		return err
	}
	return e
}

func (e *diagnosticsError) add(file string, d diagnostic) {
	e.lines = append(e.lines, fmt.Sprintf("%s: section [%s], key %q, value %q: allowed: %s", file, d.Section(), d.Key(), d.Value(), d.Allowed()))
}
