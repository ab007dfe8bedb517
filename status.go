package main

import (
	"context"

	"github.com/peterbourgon/ff/v4"
)

// statusCommand shows the state of a node.
type statusCommand struct {
	*cli
	opsClient
}

func newStatus(s *cli, parent *ff.FlagSet) *ff.Command {
	c := &statusCommand{cli: s}
	flags := ff.NewFlagSet("status").SetParent(parent)
	c.flags(flags)
	return &ff.Command{
		Name:      "status",
		Usage:     "arbutusthread status [FLAGS]",
		ShortHelp: "show the state of a node",
		LongHelp: `Queries the operators' API of one node.

Example:
  arbutusthread status --ops 127.0.0.1:7200`,
		Flags: flags,
		Exec:  c.exec,
	}
}

func (c *statusCommand) exec(ctx context.Context, args []string) error {
	if err := checkArgs(args, 0, 0, "no arguments"); err != nil {
		return err
	}
	return c.show(ctx, c.cli, "/ops/status")
}
