package main

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/soak"
)

// rollCommand restarts the nodes of a fleet in turn under load.
type rollCommand struct {
	*cli
	config soak.RollConfig
	seed   uint64
	seeds  int
}

func newRoll(s *cli, parent *ff.FlagSet) *ff.Command {
	c := &rollCommand{cli: s}
	flags := ff.NewFlagSet("roll").SetParent(parent)
	flags.Uint64Var(&c.seed, 0, "seed", 0, "first seed; 0 means a seed from the current time")
	flags.IntVar(&c.seeds, 0, "seeds", 1, "number of seeds, counted from the first")
	flags.StringVar(&c.config.Binary, 0, "program", "", "program whose nodes are tested (default: this one)")
	flags.IntVar(&c.config.Callers, 0, "callers", 65, "number of callers")
	flags.Float64Var(&c.config.Rate, 0, "rate", 112, "requests per second of all callers")
	flags.IntVar(&c.config.Shards, 0, "shards", 20, "number of shards of a query")
	flags.Float64Var(&c.config.Slow, 0, "slow", 1, "factor of the processing times of the office, whose requests go to one server")
	flags.Float64Var(&c.config.Silent, 0, "silent", 0, "share of the requests to the office that run and are never answered")
	flags.Float64Var(&c.config.Broken, 0, "broken", 0, "share of the requests to the office that run and whose connection is reset")
	flags.DurationVar(&c.config.Gap, 0, "gap", 2*time.Second, "time between two SIGTERMs")
	flags.IntVar(&c.config.Rounds, 0, "rounds", 1, "number of stops of each node")
	flags.DurationVar(&c.config.StopTime, 0, "stop-time", 6*time.Second, "time after SIGTERM at which a node is killed")
	flags.BoolVar(&c.config.Overlap, 0, "overlap", "send SIGHUPs and publish configurations during the stops")
	flags.StringVar(&c.config.Dir, 0, "dir", "", "directory for logs of runs with lost requests (default: temporary directory)")
	flags.BoolVar(&c.config.Keep, 0, "keep", "keep the logs of all runs")
	return &ff.Command{
		Name:      "roll",
		Usage:     "arbutusthread roll [FLAGS]",
		ShortHelp: "restart nodes in turn under load and check that no request is lost",
		LongHelp: `Starts nine nodes in three failure domains on loopback addresses, with stand-ins for the platform and
the backend servers, and restarts each with SIGTERM while callers send requests. A request is lost if a node
accepted it and its connection ends without an answer, unless the deadline has passed, the server broke off, or
the server is still at work in the last sixth of the stop time on a request of the first 3 s of the stop. A seed
repeats the stops and the requests, but not the timing. Exits with 1 if a request was lost; the logs of the nodes
are then kept in the directory that is printed.

Example:
  arbutusthread roll --slow 12 --seed 1 --seeds 5`,
		Flags: flags,
		Exec:  c.exec,
	}
}

func (c *rollCommand) exec(ctx context.Context, args []string) error {
	if err := checkArgs(args, 0, 0, "no arguments"); err != nil {
		return err
	}
	f := &c.config
	if c.seeds < 1 || f.Callers < 1 || f.Rate <= 0 || f.Shards < 1 || f.Slow <= 0 || f.Gap <= 0 || f.Rounds < 1 || f.StopTime <= 0 {
		return usagef("--seeds, --callers, --rate, --shards, --slow, --gap, --rounds and --stop-time must be above 0")
	}
	if f.Silent < 0 || f.Silent > 1 || f.Broken < 0 || f.Broken > 1 {
		return usagef("--silent and --broken must be between 0 and 1")
	}
	if f.Binary == "" {
		binary, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "find executable of this program")
		}
		f.Binary = binary
	}
	if c.seed == 0 {
		c.seed = uint64(time.Now().UnixMilli())
	}
	lost := 0
	for i := range c.seeds {
		f.Seed = c.seed + uint64(i)
		r, err := soak.Roll(ctx, *f)
		if err != nil {
			return errors.Wrapf(err, "seed %d", f.Seed)
		}
		lost += r.LostCount
		if err := c.print(r, r.String()); err != nil {
			return err
		}
	}
	if lost > 0 {
		return errors.Newf("%d requests lost in %d seeds", lost, c.seeds)
	}
	return nil
}
