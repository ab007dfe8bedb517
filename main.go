// Command arbutusthread is a query tier over many shards. Its subcommands run a node, check
// settings and configuration, send queries and orders, and show what a node does.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1 // the command failed, or the request was refused
	exitUsage   = 2
	exitUnknown = 3 // the request may have run
	exitInvalid = 4 // settings or configuration are invalid
)

const longHelp = `Exit codes:
  0  success
  1  the command failed, or the request was refused
  2  usage error
  3  the outcome is unknown: the request may have run
  4  settings or configuration are invalid

Flags must come before arguments. Each flag can also be set by an environment
variable, for example ARBUTUSTHREAD_KEY for --key.

Example:
  arbutusthread check sample/tw-west.json`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, &cli{in: os.Stdin, out: os.Stdout, err: os.Stderr}, os.Args[1:])
	stop()
	os.Exit(code)
}

// newRoot returns the root command with its subcommands. Each subcommand is a type with its flags and an exec
// method, and a constructor that is listed here.
func newRoot(s *cli) *ff.Command {
	flags := ff.NewFlagSet("arbutusthread")
	flags.BoolVar(&s.json, 0, "json", "print JSON instead of text")
	root := &ff.Command{
		Name:      "arbutusthread",
		Usage:     "arbutusthread [FLAGS] COMMAND [FLAGS] [ARGUMENT...]",
		ShortHelp: "query tier over many shards",
		LongHelp:  longHelp,
		Flags:     flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("a command is required")
			}
			return usagef("unknown command %q", args[0])
		},
	}
	for _, c := range []func(*cli, *ff.FlagSet) *ff.Command{
		newCheck,
		newQuery,
		newOrder,
		newStatus,
		newExplain,
		newServe,
		newNode,
		newStandin,
		newLoad,
		newDemo,
		newTrial,
		newDrill,
		newSoak,
		newRoll,
		newReplay,
	} {
		x := c(s, flags)
		exec := x.Exec
		x.Exec = func(ctx context.Context, args []string) error { return exec(ctx, removeTerminator(args)) }
		root.Subcommands = append(root.Subcommands, x)
	}
	return root
}

// run parses and executes a command line and returns the exit code.
func run(ctx context.Context, s *cli, args []string) int {
	root := newRoot(s)
	if err := root.Parse(insertTerminator(args), ff.WithEnvVarPrefix("ARBUTUSTHREAD")); err != nil {
		if errors.Is(err, ff.ErrHelp) {
			fmt.Fprintln(s.out, ffhelp.Command(root))
			return exitOK
		}
		return s.report(root, usagef("%v", err))
	}
	return s.report(root, root.Run(ctx))
}

// insertTerminator inserts "--" before the argument "-", which denotes the standard input, because the flag
// library would drop "-" as an empty flag. A "-" directly after a flag is treated as the value of the flag.
func insertTerminator(args []string) []string {
	for i, a := range args {
		if a == "--" {
			return args
		}
		if a == "-" && i > 0 && !strings.HasPrefix(args[i-1], "-") {
			return slices.Insert(slices.Clone(args), i, "--")
		}
	}
	return args
}

// removeTerminator removes the "--" of insertTerminator if the flag library left it in the arguments.
func removeTerminator(args []string) []string {
	i := slices.Index(args, "-")
	if i > 0 && args[i-1] == "--" {
		return slices.Delete(slices.Clone(args), i-1, i)
	}
	return args
}

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

func exitWith(code int, err error) error {
	return &exitError{code: code, err: err}
}

func usagef(format string, args ...any) error {
	return exitWith(exitUsage, errors.Newf(format, args...))
}
