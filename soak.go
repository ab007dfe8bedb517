package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/soak"
)

// soakCommand runs a fleet of nodes under fault injection.
type soakCommand struct {
	*cli
	config  soak.Config
	seed    uint64
	seeds   int
	verbose bool
}

func newSoak(s *cli, parent *ff.FlagSet) *ff.Command {
	c := &soakCommand{cli: s}
	flags := ff.NewFlagSet("soak").SetParent(parent)
	flags.Uint64Var(&c.seed, 0, "seed", 0, "first seed; 0 means a seed from the current time")
	flags.IntVar(&c.seeds, 0, "seeds", 1, "number of seeds, counted from the first")
	flags.StringVar(&c.config.Binary, 0, "program", "", "program whose nodes are tested (default: this one)")
	flags.IntVar(&c.config.Nodes, 0, "nodes", 6, "number of nodes, each in its own process")
	flags.IntVar(&c.config.Callers, 0, "callers", 12, "number of callers")
	flags.DurationVar(&c.config.FaultTime, 0, "for", 20*time.Second, "time for which faults are injected")
	flags.StringVar(&c.config.Dir, 0, "dir", "", "directory for logs of runs with violations (default: temporary directory)")
	flags.BoolVar(&c.config.Keep, 0, "keep", "keep the logs of all runs")
	flags.BoolVar(&c.verbose, 'v', "verbose", "log each injected fault")
	return &ff.Command{
		Name:      "soak",
		Usage:     "arbutusthread soak [FLAGS]",
		ShortHelp: "run nodes as processes under fault injection and check the guarantees",
		LongHelp: `Starts nodes of this program on loopback addresses with stand-ins for the platform and
backend servers, and injects faults with proxies and signals. A seed reproduces the faults, but not the
timing. A run takes 13 s longer than the time for which faults are injected. Exits with 1 if a guarantee
was violated; the logs of the nodes are then kept in the directory that is printed.

Example:
  arbutusthread soak --seed 1 --seeds 50`,
		Flags: flags,
		Exec:  c.exec,
	}
}

func (c *soakCommand) exec(ctx context.Context, args []string) error {
	if err := checkArgs(args, 0, 0, "no arguments"); err != nil {
		return err
	}
	if c.seeds < 1 || c.config.Nodes < 1 || c.config.Callers < 1 || c.config.FaultTime <= 0 {
		return usagef("--seeds, --nodes, --callers and --for must be above 0")
	}
	if c.config.Binary == "" {
		binary, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "find executable of this program")
		}
		c.config.Binary = binary
	}
	level := slog.LevelWarn
	if c.verbose {
		level = slog.LevelInfo
	}
	c.config.Log = slog.New(slog.NewTextHandler(c.err, &slog.HandlerOptions{Level: level}))
	if c.seed == 0 {
		c.seed = uint64(time.Now().UnixMilli())
	}
	var reports []*soak.Report
	broken := 0
	for i := range c.seeds {
		c.config.Seed = c.seed + uint64(i)
		r, err := soak.Run(ctx, c.config)
		if err != nil {
			return errors.Wrapf(err, "seed %d", c.config.Seed)
		}
		reports = append(reports, r)
		broken += len(r.Broken)
		if err := c.print(r, formatSoakReport(r)); err != nil {
			return err
		}
	}
	if broken > 0 {
		return errors.Newf("%d violations in %d seeds", broken, len(reports))
	}
	return nil
}

func formatSoakReport(r *soak.Report) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d requests, %d answered, %d refused, %d failed, %d faults, %d violations\n",
		r.Seed, r.Requests, r.Answered, r.Refused, r.Failed, r.Faults, len(r.Broken))
	for _, x := range r.Broken {
		fmt.Fprintf(&b, "  %s\n", x)
	}
	if r.Dir != "" {
		fmt.Fprintf(&b, "  logs in %s\n", r.Dir)
	}
	return b.String()
}
