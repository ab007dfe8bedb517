package main

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/drill"
	"github.com/arbutusthread/arbutusthread/trial"
)

// simulationCommand compares policies with baselines in virtual time.
type simulationCommand[R any] struct {
	*cli
	caseName string
	seeds    int
	// caseNames are the names of the cases in the order of the report.
	caseNames []string
	// run runs one case with the seeds from 1 to the given number and pools the results of each policy.
	run   func(ctx context.Context, caseName string, seeds int) ([]R, error)
	write func(w io.Writer, results []R) error
	// plot writes an SVG plot of one case, and is nil if the command has no plots. plots is the directory for
	// plots, which a flag sets.
	plot  func(w io.Writer, results []R) error
	plots string
}

func newTrial(s *cli, parent *ff.FlagSet) *ff.Command {
	c := &simulationCommand[trial.Result]{
		cli: s, caseNames: trial.CaseNames(), write: trial.WriteText,
		run: func(ctx context.Context, name string, seeds int) ([]trial.Result, error) {
			testCase, err := trial.FindCase(name)
			if err != nil {
				return nil, err
			}
			return trial.RunSeeds(ctx, testCase, seeds)
		},
	}
	return c.command(parent, "trial", "compare the slice scheduler with baselines in virtual time",
		`Runs the slice scheduler and its baselines against models of backend servers. The same
seeds give the same figures.

Example:
  arbutusthread trial --case tail --seeds 10`)
}

func newDrill(s *cli, parent *ff.FlagSet) *ff.Command {
	c := &simulationCommand[*drill.Result]{
		cli: s, caseNames: drill.CaseNames(), write: drill.WriteText, plot: drill.WriteSVG,
		run: func(ctx context.Context, name string, seeds int) ([]*drill.Result, error) {
			testCase, err := drill.FindCase(name)
			if err != nil {
				return nil, err
			}
			return drill.RunSeeds(ctx, testCase, seeds)
		},
	}
	return c.command(parent, "drill", "simulate routed requests under load patterns and faults",
		`Runs the engine for routed requests and simple forwarders against models of backend servers,
each case with one load pattern or fault. The same seeds give the same figures.

Example:
  arbutusthread drill --case burst --seeds 10 --plots plots`)
}

func (c *simulationCommand[R]) command(parent *ff.FlagSet, name, short, long string) *ff.Command {
	flags := ff.NewFlagSet(name).SetParent(parent)
	flags.StringVar(&c.caseName, 0, "case", "", "run only this case: "+strings.Join(c.caseNames, ", "))
	flags.IntVar(&c.seeds, 0, "seeds", 1, "number of seeds, counted from 1, whose runs are pooled")
	if c.plot != nil {
		flags.StringVar(&c.plots, 0, "plots", "", "directory for a plot of each case over time, CASE.svg")
	}
	return &ff.Command{
		Name: name, Usage: "arbutusthread " + name + " [FLAGS]", ShortHelp: short, LongHelp: long, Flags: flags, Exec: c.exec,
	}
}

func (c *simulationCommand[R]) exec(ctx context.Context, args []string) error {
	if err := checkArgs(args, 0, 0, "no arguments"); err != nil {
		return err
	}
	names := c.caseNames
	if c.caseName != "" {
		names = []string{c.caseName}
	}
	if c.seeds < 1 {
		return usagef("--seeds must be at least 1")
	}
	var all []R
	for _, name := range names {
		r, err := c.run(ctx, name, c.seeds)
		if err != nil {
			return usagef("--case: %v", err)
		}
		if err := c.savePlot(name, r); err != nil {
			return err
		}
		all = append(all, r...)
	}
	var text strings.Builder
	if err := c.write(&text, all); err != nil {
		return err
	}
	return c.print(all, text.String())
}

// savePlot writes the plot of a case to the directory for plots, if one is set.
func (c *simulationCommand[R]) savePlot(name string, results []R) error {
	if c.plots == "" {
		return nil
	}
	var b bytes.Buffer
	if err := c.plot(&b, results); err != nil {
		return err
	}
	if err := os.MkdirAll(c.plots, 0o755); err != nil {
		return errors.Wrap(err, "create directory for plots")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(c.plots, name+".svg"), b.Bytes(), 0o644), "write plot")
}
