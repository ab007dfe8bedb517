package main

import (
	"context"

	"github.com/peterbourgon/ff/v4"
)

// status shows the state of a node.
type status struct {
	*shell
	operator
}

func newStatus(s *shell, parent *ff.FlagSet) *ff.Command {
	c := &status{shell: s}
	flags := ff.NewFlagSet("status").SetParent(parent)
	c.flags(flags)
	return &ff.Command{
		Name:      "status",
		Usage:     "arbutusthread status [FLAGS]",
		ShortHelp: "show the state of a node",
		LongHelp: `Asks the operators' API of one node.

Example:
  arbutusthread status --ops 127.0.0.1:7200`,
		Flags: flags,
		Exec:  c.exec,
	}
}

func (c *status) exec(ctx context.Context, args []string) error {
	if err := wantArgs(args, 0, 0, "no arguments"); err != nil {
		return err
	}
	return c.show(ctx, c.shell, "/ops/status")
}
