package main

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/trial"
)

// trialCommand measures the policies in virtual time.
type trialCommand struct {
	*shell
	name   string
	seeds  int
	replay string
}

func newTrial(s *shell, parent *ff.FlagSet) *ff.Command {
	c := &trialCommand{shell: s}
	flags := ff.NewFlagSet("trial").SetParent(parent)
	flags.StringVar(&c.name, 0, "case", "", "only this case: "+strings.Join(trial.CaseNames(), ", "))
	flags.IntVar(&c.seeds, 0, "seeds", 1, "number of seeds, counted from 1, whose runs are pooled")
	flags.StringVar(&c.replay, 0, "replay", "", "trace file to replay against the servers of the case instead")
	return &ff.Command{
		Name:      "trial",
		Usage:     "arbutusthread trial [FLAGS]",
		ShortHelp: "measure the policies against baselines in virtual time",
		LongHelp: `Runs the scheduler and its baselines against models of backend servers. The same seeds
give the same figures. With --replay the recorded arrivals are used and the outcomes
are compared with those recorded; "-" is the standard input.

Example:
  arbutusthread trial --case tail --seeds 10`,
		Flags: flags,
		Exec:  c.exec,
	}
}

func (c *trialCommand) exec(ctx context.Context, args []string) error {
	if err := wantArgs(args, 0, 0, "no arguments"); err != nil {
		return err
	}
	cases := trial.Cases()
	if c.name != "" {
		one, err := trial.FindCase(c.name)
		if err != nil {
			return usagef("--case: %v", err)
		}
		cases = []trial.Case{one}
	}
	if c.seeds < 1 {
		return usagef("--seeds must be at least 1")
	}
	if c.replay != "" {
		return c.runReplay(cases)
	}
	var all []trial.Result
	for _, one := range cases {
		r, err := trial.RunSeeds(ctx, one, c.seeds)
		if err != nil {
			return err
		}
		all = append(all, r...)
	}
	var text strings.Builder
	if err := trial.WriteText(&text, all); err != nil {
		return err
	}
	return c.print(all, text.String())
}

func (c *trialCommand) runReplay(cases []trial.Case) error {
	if c.name == "" {
		return usagef("--replay needs --case")
	}
	b, err := c.readFile(c.replay)
	if err != nil {
		return err
	}
	traces, err := trial.ReadTraces(strings.NewReader(string(b)))
	if err != nil {
		return errors.Wrapf(err, "replay %s", c.replay)
	}
	_, list, err := trial.Replay(cases[0], trial.InUse(), uint64(c.seeds), traces)
	if err != nil {
		return err
	}
	var text strings.Builder
	if err := trial.WriteComparison(&text, list); err != nil {
		return err
	}
	return c.print(list, text.String())
}
