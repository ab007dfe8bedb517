package main

import (
	"context"
	"log/slog"

	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/demo"
)

// demoCommand runs a fleet against stand-ins for the platform and the backend servers.
type demoCommand struct {
	*cli
	verbose bool
}

func newDemo(s *cli, parent *ff.FlagSet) *ff.Command {
	c := &demoCommand{cli: s}
	flags := ff.NewFlagSet("demo").SetParent(parent)
	flags.BoolVar(&c.verbose, 'v', "verbose", "print the logs of the nodes to the standard error")
	return &ff.Command{
		Name:      "demo",
		Usage:     "arbutusthread demo [FLAGS]",
		ShortHelp: "run three nodes against stand-ins and take a failure domain out of service under load",
		LongHelp: `Runs in one process on loopback for about 20 seconds and prints the events and the results
of the checks. Exits with 1 if a check failed.

Example:
  arbutusthread demo`,
		Flags: flags,
		Exec:  c.exec,
	}
}

func (c *demoCommand) exec(ctx context.Context, args []string) error {
	if err := checkArgs(args, 0, 0, "no arguments"); err != nil {
		return err
	}
	log := slog.New(slog.DiscardHandler)
	if c.verbose {
		log = slog.New(slog.NewTextHandler(c.err, nil))
	}
	return demo.Run(ctx, demo.Config{Out: c.out, Log: log})
}
