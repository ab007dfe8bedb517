package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/wire"
)

// queryCommand sends one query and prints its answer.
type queryCommand struct {
	*cli
	callerFlags
	top int
}

func newQuery(s *cli, parent *ff.FlagSet) *ff.Command {
	c := &queryCommand{cli: s}
	flags := ff.NewFlagSet("query").SetParent(parent)
	c.flags(flags)
	flags.IntVar(&c.top, 'n', "top", 10, "maximum number of hits")
	return &ff.Command{
		Name:      "query",
		Usage:     "arbutusthread query [FLAGS] SERVICE TEXT",
		ShortHelp: "send a query",
		LongHelp: `Prints the hits, the index version and the shards that the answer covers. A failed
query is retried on another address within the timeout.

Example:
  arbutusthread query --key example-cooperatives --kind stock-lookup workshop-ledger "cedar 24cm"`,
		Flags: flags,
		Exec:  c.exec,
	}
}

func (c *queryCommand) exec(ctx context.Context, args []string) error {
	if err := checkArgs(args, 2, 2, "SERVICE and TEXT"); err != nil {
		return err
	}
	if c.kind == "" {
		return usagef("--kind is required")
	}
	client, err := c.client(c.cli)
	if err != nil {
		return err
	}
	defer client.Close()
	a, err := client.Query(ctx, args[0], wire.Query{
		Kind: c.kind, Query: args[1], TopK: c.top, Timeout: wire.Duration(c.timeout),
	})
	if err != nil {
		f := wire.AsFailure(err)
		if c.json {
			if err := c.print(f, ""); err != nil {
				return err
			}
		}
		return outcomeError(f)
	}
	return c.print(a, formatAnswer(a))
}

func formatAnswer(a *wire.Answer) string {
	var s strings.Builder
	fmt.Fprintf(&s, "%d of %d hits, index %s, %d of %d shards, request %s\n",
		len(a.Hits), a.Total, a.IndexVersion, len(a.Coverage.Covered), a.Coverage.Shards, a.RequestID)
	for _, m := range a.Coverage.Missing {
		fmt.Fprintf(&s, "missing shard %s: %s\n", m.Shard, m.Reason)
	}
	for i, h := range a.Hits {
		fmt.Fprintf(&s, "%3d  %.4g  %s  %s\n", i+1, h.Score, h.ID, h.Fields)
	}
	return s.String()
}
