package main

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/trial"
)

// replayCommand replays a recorded trace in virtual time.
type replayCommand struct {
	*cli
	config  string
	latency time.Duration
	seed    uint64
}

func newReplay(s *cli, parent *ff.FlagSet) *ff.Command {
	c := &replayCommand{cli: s}
	flags := ff.NewFlagSet("replay").SetParent(parent)
	flags.StringVar(&c.config, 'c', "config", "", "configuration document with the service of the trace")
	flags.DurationVar(&c.latency, 'l', "latency", 5*time.Millisecond, "median latency of a warm server")
	flags.Uint64Var(&c.seed, 0, "seed", 1, "seed for the models of the servers")
	return &ff.Command{
		Name:      "replay",
		Usage:     "arbutusthread replay --config FILE TRACE",
		ShortHelp: "replay a trace recorded by serve against models of backend servers",
		LongHelp: `Replays the recorded arrivals in virtual time and compares the outcomes with the
recorded ones. "-" reads the standard input. Use serve --trace FILE to record a trace.

Example:
  arbutusthread replay --config sample/tw-west.json trace.jsonl`,
		Flags: flags,
		Exec:  c.exec,
	}
}

func (c *replayCommand) exec(_ context.Context, args []string) error {
	if err := checkArgs(args, 1, 1, "one TRACE"); err != nil {
		return err
	}
	if c.config == "" {
		return usagef("--config is required")
	}
	traces, err := c.readTraces(args[0])
	if err != nil {
		return err
	}
	testCase, err := c.newCase(traces[0].Service)
	if err != nil {
		return err
	}
	_, list, err := trial.Replay(testCase, trial.Production(), c.seed, traces)
	if err != nil {
		return err
	}
	var text strings.Builder
	if err := trial.WriteComparison(&text, list); err != nil {
		return err
	}
	return c.print(list, text.String())
}

func (c *replayCommand) readTraces(name string) ([]trial.Trace, error) {
	b, err := c.readFile(name)
	if err != nil {
		return nil, err
	}
	list, err := trial.ReadTraces(bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrapf(err, "replay %s", name)
	}
	if len(list) == 0 {
		return nil, errors.Newf("replay %s: the trace is empty", name)
	}
	return list, nil
}

func (c *replayCommand) newCase(name string) (trial.Case, error) {
	b, err := c.readFile(c.config)
	if err != nil {
		return trial.Case{}, err
	}
	d, err := conf.ParseDocument(b)
	if err != nil {
		return trial.Case{}, exitWith(exitInvalid, err)
	}
	if err := d.Check().Err(); err != nil {
		return trial.Case{}, exitWith(exitInvalid, err)
	}
	return trial.FromDocument(d, name, c.latency)
}
