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

// explain shows the decisions that were taken for one request.
type explainCommand struct {
	*cli
	opsClient
	files string
}

func newExplain(s *cli, parent *ff.FlagSet) *ff.Command {
	c := &explainCommand{cli: s}
	flags := ff.NewFlagSet("explain").SetParent(parent)
	flags.StringVar(&c.files, 0, "logs", "", "log files of nodes, with commas between them, or - for the standard input")
	c.flags(flags)
	return &ff.Command{
		Name:      "explain",
		Usage:     "arbutusthread explain [FLAGS] ID",
		ShortHelp: "show the decisions for a request",
		LongHelp: `ID is the request id of an answer or a refusal. With --logs the timeline of the request
is read from the logs of one or more nodes, with what they say of its servers from 5 s before it. It
starts at the request's first line. Without --logs a node of the slice path is asked for its own recent
decisions; ask the planner and the homes that it names.

Exit codes: 0 found, 1 not found or not readable, 2 wrong use.

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

// timeline prints the lines of a request in the log files.
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
		return errors.Newf("no line of %d is about request %s; %d others are no log lines", len(all), id, total)
	}
	if total > 0 {
		fmt.Fprintf(c.err, "arbutusthread: %d lines are no log lines\n", total)
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
