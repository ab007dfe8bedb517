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

// shell is what all commands share: the standard streams and the form of output.
type cli struct {
	in   io.Reader
	out  io.Writer
	err  io.Writer
	json bool
}

// report prints an error and returns its exit code.
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
		fmt.Fprintf(s.err, "usage: %s\nUse --help for more.\n", selectedCommand(root).Usage)
	}
	return code
}

func selectedCommand(root *ff.Command) *ff.Command {
	if c := root.GetSelected(); c != nil {
		return c
	}
	return root
}

// print writes the value as JSON if that was asked for, and otherwise the text.
func (s *cli) print(v any, text string) error {
	if !s.json {
		_, err := io.WriteString(s.out, text)
		return errors.Wrap(err, "print")
	}
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return errors.Wrap(e.Encode(v), "print")
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

// loadSettings reads and checks a settings file, and returns its text too.
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

// wantArgs checks the number of arguments. The flag library stops at the first argument, so a
// flag behind it would be taken for an argument.
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
