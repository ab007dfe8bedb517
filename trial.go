package main

import (
	"context"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/trial"
)

// trialCommand measures the policies in virtual time.
type trialCommand struct {
	*shell
	name  string
	seeds int
}

func newTrial(s *shell, parent *ff.FlagSet) *ff.Command {
	c := &trialCommand{shell: s}
	flags := ff.NewFlagSet("trial").SetParent(parent)
	flags.StringVar(&c.name, 0, "case", "", "only this case: "+strings.Join(trial.CaseNames(), ", "))
	flags.IntVar(&c.seeds, 0, "seeds", 1, "number of seeds, counted from 1, whose runs are pooled")
	return &ff.Command{
		Name:      "trial",
		Usage:     "arbutusthread trial [FLAGS]",
		ShortHelp: "measure the policies against baselines in virtual time",
		LongHelp: `Runs the scheduler and its baselines against models of backend servers. The same seeds
give the same figures.

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
