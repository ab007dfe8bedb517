package main

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/logs"
)

// explainCommand shows the decisions made for one request.
type explainCommand struct {
	*cli
	opsClient
	files string
}

func newExplain(s *cli, parent *ff.FlagSet) *ff.Command {
	c := &explainCommand{cli: s}
	flags := ff.NewFlagSet("explain").SetParent(parent)
	flags.StringVar(&c.files, 0, "logs", "", "comma-separated log files of nodes, or - for the standard input")
	c.flags(flags)
	return &ff.Command{
		Name:      "explain",
		Usage:     "arbutusthread explain [FLAGS] ID",
		ShortHelp: "show the decisions for a request",
		LongHelp: `ID is the request ID of an answer or a refusal. With --logs, the timeline of the request
is read from the logs of one or more nodes. It includes events of the request's servers from 5 s
before the first line of the request; times are relative to that line. Without --logs, a node of the
slice path returns its own recent decisions: query the planner first, then the lease holders that it names.

Exit codes: 0 found, 1 not found or not readable, 2 usage error.

Examples:
  arbutusthread explain --logs node-1.log,node-2.log 5f0c1e
  cat node-*.log | arbutusthread explain --logs - 5f0c1e
  arbutusthread explain --ops 127.0.0.1:7200 5f0c1e`,
		Flags: flags,
		Exec:  c.exec,
	}
}

func (c *explainCommand) exec(ctx context.Context, args []string) error {
	if err := checkArgs(args, 1, 1, "one ID"); err != nil {
		return err
	}
	if c.files != "" {
		return c.printTimeline(args[0])
	}
	return c.show(ctx, c.cli, "/ops/explain/"+url.PathEscape(args[0]))
}

// printTimeline prints the timeline of a request from the log files.
func (c *explainCommand) printTimeline(id string) error {
	var all []logs.Line
	total := 0
	for name := range strings.SplitSeq(c.files, ",") {
		lines, skipped, err := c.readLog(name)
		if err != nil {
			return errors.Wrapf(err, "%s", name)
		}
		all = append(all, lines...)
		total += skipped
	}
	list := logs.Timeline(all, id)
	if len(list) == 0 {
		return errors.Newf("no match in %d log lines for request %s; skipped %d lines that are not log lines", len(all), id, total)
	}
	if total > 0 {
		fmt.Fprintf(c.err, "arbutusthread: skipped %d lines that are not log lines\n", total)
	}
	var text strings.Builder
	if err := logs.WriteTimeline(&text, list); err != nil {
		return err
	}
	return c.print(list, text.String())
}

func (c *explainCommand) readLog(name string) ([]logs.Line, int, error) {
	if name == "-" {
		return logs.Read(c.in)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, errors.Wrap(err, "open log")
	}
	defer f.Close()
	return logs.Read(f)
}
