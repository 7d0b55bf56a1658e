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

// check checks a settings file and a configuration.
type check struct {
	env      *environment
	Settings string `long:"settings" description:"settings file of a host (INI)"`
	Config   string `long:"config" description:"published configuration (INI); - reads standard input"`
}

// Execute implements flags.Commander.
func (c *check) Execute([]string) (err error) {
	if c.Settings == "" && c.Config == "" {
		return &flags.Error{Type: flags.ErrRequired, Message: "one of --settings and --config is required"}
	}
	if c.Settings != "" {
		_, err = setting.Load(c.Settings)
		err = mistakes(c.Settings, err)
	}
	if c.Config != "" {
		err = errors.Join(err, c.configuration())
	}
	return err
}

func (c *check) configuration() error {
	raw, err := readFile(c.env, c.Config)
	if err != nil {
		return err
	}
	_, err = config.Parse(raw)
	return mistakes(c.Config, err)
}

// readFile returns the bytes of the file, or of standard input for "-". It reads one byte
// more than a document may have, so that the check refuses a larger one.
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

// mistakeError lists mistakes of one file and ends the program with the code for them.
type mistakeError struct {
	lines []string
}

func (m *mistakeError) Error() string { return strings.Join(m.lines, "\n") }

// Is makes errors.Is find errMistakes.
func (m *mistakeError) Is(target error) bool { return target == errMistakes }

// mistake is what the registries of settings and documents report alike.
type mistake interface {
	Section() string
	Key() string
	Value() string
	Allowed() string
}

// mistakes returns err with the file named on each line, or err itself if it holds no
// mistakes.
func mistakes(file string, err error) error {
	var documents config.Diagnostics
	var settings setting.Diagnostics
	m := &mistakeError{}
	switch {
	case errors.As(err, &documents):
		for _, one := range documents {
			m.add(file, one)
		}
	case errors.As(err, &settings):
		for _, one := range settings {
			m.add(file, one)
		}
	default:
		return err
	}
	return m
}

func (m *mistakeError) add(file string, one mistake) {
	m.lines = append(m.lines, fmt.Sprintf("%s: section [%s], key %q, value %q: allowed: %s", file, one.Section(), one.Key(), one.Value(), one.Allowed()))
}
