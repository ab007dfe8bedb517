package main

import (
	"context"
	"net/url"

	"github.com/peterbourgon/ff/v4"
)

// explain shows the decisions that a node took for one request.
type explain struct {
	*shell
	operator
}

func newExplain(s *shell, parent *ff.FlagSet) *ff.Command {
	c := &explain{shell: s}
	flags := ff.NewFlagSet("explain").SetParent(parent)
	c.flags(flags)
	return &ff.Command{
		Name:      "explain",
		Usage:     "arbutusthread explain [FLAGS] ID",
		ShortHelp: "show the decisions of a node for a request",
		LongHelp: `ID is the request id of an answer or a refusal. A node knows its own recent
decisions only; ask the planner and the homes that it names.

Example:
  arbutusthread explain --ops 127.0.0.1:7200 5f0c1e`,
		Flags: flags,
		Exec:  c.exec,
	}
}

func (c *explain) exec(ctx context.Context, args []string) error {
	if err := wantArgs(args, 1, 1, "one ID"); err != nil {
		return err
	}
	return c.show(ctx, c.shell, "/ops/explain/"+url.PathEscape(args[0]))
}
