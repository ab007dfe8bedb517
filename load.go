package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/arbutusthread/arbutusthread/call"
	"github.com/arbutusthread/arbutusthread/load"
	"github.com/arbutusthread/arbutusthread/wire"
)

// loadCommand sends requests to a running fleet at a given rate.
type loadCommand struct {
	*cli
	callerFlags
	rate     float64
	duration time.Duration
	mix      []string
	orders   []string
	texts    uint64
	seed     uint64
	out      string
}

func newLoad(s *cli, parent *ff.FlagSet) *ff.Command {
	c := &loadCommand{cli: s}
	flags := ff.NewFlagSet("load").SetParent(parent)
	c.flags(flags)
	flags.Float64Var(&c.rate, 'r', "rate", 50, "requests per second")
	flags.DurationVar(&c.duration, 'd', "duration", 10*time.Second, "time for which requests are sent")
	flags.StringListVar(&c.mix, 'm', "mix", "kind of query and its share, as KIND=SHARE or KIND=SHARE=WORTH; repeatable")
	flags.StringListVar(&c.orders, 'o', "order", "kind of order and its share, as KIND=SHARE or KIND=SHARE=WORTH; repeatable")
	flags.Uint64Var(&c.texts, 0, "texts", 1000, "number of distinct query texts")
	flags.Uint64Var(&c.seed, 0, "seed", 1, "seed for arrival times and query texts")
	flags.StringVar(&c.out, 0, "out", "", "directory for report.txt, report.json and report.svg")
	return &ff.Command{
		Name:      "load",
		Usage:     "arbutusthread load [FLAGS] SERVICE",
		ShortHelp: "send requests at a given rate and report latency and outcomes",
		LongHelp: `Requests start at their scheduled times, independent of the answers (open loop), and
latency is measured from then. Exits with 1 if no request was answered.

Example:
  arbutusthread load --key example-cooperatives --rate 200 --mix stock=1 workshop-ledger`,
		Flags: flags,
		Exec:  c.exec,
	}
}

func (c *loadCommand) exec(ctx context.Context, args []string) error {
	if err := checkArgs(args, 1, 1, "one SERVICE"); err != nil {
		return err
	}
	kinds, orders, err := c.parseKinds()
	if err != nil {
		return err
	}
	client, err := c.client(c.cli)
	if err != nil {
		return err
	}
	defer client.Close()
	r, err := load.Run(ctx, load.Config{
		Title: args[0], Rate: c.rate, Duration: c.duration, Kinds: kinds, Seed: c.seed,
	}, func(ctx context.Context, q load.Request) load.Result {
		if orders[q.Kind.Name] {
			return c.order(ctx, client, args[0], q)
		}
		return c.query(ctx, client, args[0], q)
	})
	if err != nil {
		return err
	}
	return c.printReport(r)
}

func (c *loadCommand) parseKinds() ([]load.Kind, map[string]bool, error) {
	var list []load.Kind
	orders := make(map[string]bool)
	for _, text := range append(append([]string(nil), c.mix...), c.orders...) {
		k, err := parseKind(text)
		if err != nil {
			return nil, nil, err
		}
		list = append(list, k)
	}
	for _, k := range list[len(c.mix):] {
		orders[k.Name] = true
	}
	if len(list) == 0 {
		return nil, nil, usagef("--mix or --order is required")
	}
	return list, orders, nil
}

func parseKind(text string) (load.Kind, error) {
	parts := strings.Split(text, "=")
	k := load.Kind{Name: parts[0], Worth: 1}
	if len(parts) < 2 || len(parts) > 3 {
		return k, usagef("expected KIND=SHARE or KIND=SHARE=WORTH, got %q", text)
	}
	var err error
	if k.Share, err = strconv.ParseFloat(parts[1], 64); err != nil {
		return k, usagef("share in %q: %v", text, err)
	}
	if len(parts) == 3 {
		if k.Worth, err = strconv.ParseFloat(parts[2], 64); err != nil {
			return k, usagef("worth in %q: %v", text, err)
		}
	}
	return k, nil
}

func (c *loadCommand) query(ctx context.Context, client *call.Client, service string, q load.Request) load.Result {
	a, err := client.Query(ctx, service, wire.Query{
		Kind: q.Kind.Name, Query: "load " + strconv.FormatUint(q.Random%max(1, c.texts), 10), Timeout: wire.Duration(c.timeout),
	})
	if err != nil {
		f := wire.AsFailure(err)
		return load.Result{Outcome: f.Outcome, NotRun: f.NotRun}
	}
	return load.Result{Outcome: a.Outcome, Coverage: a.Coverage.Fraction()}
}

func (c *loadCommand) order(ctx context.Context, client *call.Client, service string, q load.Request) load.Result {
	r := client.Order(ctx, service, call.Order{
		Kind: q.Kind.Name, Body: fmt.Appendf(nil, `{"Number":%d}`, q.Number), Timeout: c.timeout,
	})
	return load.Result{Outcome: r.Outcome, NotRun: r.Outcome == wire.Refused, Coverage: 1}
}

func (c *loadCommand) printReport(r *load.Report) error {
	if c.out != "" {
		if err := writeReports(c.out, r); err != nil {
			return err
		}
	}
	var text strings.Builder
	if err := r.WriteText(&text); err != nil {
		return err
	}
	if err := c.print(r, text.String()); err != nil {
		return err
	}
	if r.All.Answered == 0 {
		return errors.New("no request was answered")
	}
	return nil
}

func writeReports(dir string, r *load.Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "load: create report directory")
	}
	for name, write := range map[string]func(io.Writer) error{
		"report.txt": r.WriteText, "report.json": r.WriteJSON, "report.svg": r.WriteSVG,
	} {
		if err := writeFile(filepath.Join(dir, name), write); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "load: create report")
	}
	err = write(f)
	return errors.Wrapf(errors.CombineErrors(err, f.Close()), "load: write %s", name)
}
