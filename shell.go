package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/conf"
)

// cli holds the standard streams and the output format, which all commands share.
type cli struct {
	in   io.Reader
	out  io.Writer
	err  io.Writer
	json bool
}

// report prints an error, with the usage line for usage errors, and returns the exit code.
func (s *cli) report(root *ff.Command, err error) int {
	if err == nil {
		return exitOK
	}
	code := exitFailed
	var e *exitError
	if errors.As(err, &e) {
		code = e.code
	}
	fmt.Fprintf(s.err, "arbutusthread: %v\n", err)
	if code == exitUsage {
		fmt.Fprintf(s.err, "usage: %s\nUse --help for details.\n", selectedCommand(root).Usage)
	}
	return code
}

func selectedCommand(root *ff.Command) *ff.Command {
	if c := root.GetSelected(); c != nil {
		return c
	}
	return root
}

// print writes v as JSON if --json is set, and the text otherwise.
func (s *cli) print(v any, text string) error {
	if !s.json {
		_, err := io.WriteString(s.out, text)
		return errors.Wrap(err, "write output")
	}
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return errors.Wrap(e.Encode(v), "write output")
}

// readFile reads a file, or the standard input for "-".
func (s *cli) readFile(name string) ([]byte, error) {
	if name == "-" {
		b, err := io.ReadAll(s.in)
		return b, errors.Wrap(err, "read standard input")
	}
	b, err := os.ReadFile(name)
	return b, errors.Wrap(err, "read file")
}

// loadSettings reads and validates a settings file, and returns its contents and the settings.
func (s *cli) loadSettings(name string) ([]byte, *conf.Settings, error) {
	b, err := s.readFile(name)
	if err != nil {
		return nil, nil, err
	}
	settings, err := conf.ParseSettings(b)
	if err == nil {
		err = settings.Check().Err()
	}
	if err != nil {
		return nil, nil, exitWith(exitInvalid, err)
	}
	return b, settings, nil
}

// checkArgs checks the number of arguments, from low to high. It rejects flags among them, because the flag
// library stops parsing at the first argument and would treat a later flag as an argument.
func checkArgs(args []string, low, high int, what string) error {
	for _, a := range args {
		if len(a) > 1 && strings.HasPrefix(a, "-") {
			return usagef("flag %s must come before the arguments", a)
		}
	}
	if len(args) < low || len(args) > high {
		return usagef("expected %s", what)
	}
	return nil
}
