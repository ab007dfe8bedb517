package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/call"
	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/load"
	"github.com/arbutusthread/arbutusthread/wire"
)

// ErrCheckFailed means that a guarantee was violated in the run.
var ErrCheckFailed = errors.New("demo: a guarantee was violated")

const (
	service      = "service-0"
	domainIn     = "Lukang"
	domainOut    = "Yilan"
	loadDuration = 12 * time.Second
	drainStart   = 3 * time.Second
	drainEnd     = 8 * time.Second
	loadRate     = 120
	loadSeed     = 1
	demoShards   = 8
)

// Config holds the settings of a run.
type Config struct {
	Out io.Writer
	Log *slog.Logger
}

// Run runs the demonstration and prints its progress. It takes about 20 s. It returns ErrCheckFailed if a
// check failed.
func Run(ctx context.Context, c Config) error {
	fmt.Fprintln(c.Out, "starting the platform, 4 backend servers in 2 failure domains and 3 nodes")
	f, err := StartFleet(ctx, FleetConfig{
		Stand: fake.FleetConfig{Seed: loadSeed, Layout: fake.Layout{
			Services: 1, Shards: demoShards, Replicas: 2, Servers: 4, Slots: 6, Domains: []string{domainIn, domainOut},
		}},
		Domains: []string{domainIn, domainOut, domainIn}, AddressTTL: time.Second, Log: c.Log,
	})
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintf(c.Out, "ready; %d requests a second for %v: lookup, stock, order\n", loadRate, loadDuration)
	h := newHistory()
	report, err := f.load(ctx, c.Out, h)
	if err != nil {
		return err
	}
	if err := report.WriteText(c.Out); err != nil {
		return err
	}
	return printChecks(c.Out, h.runChecks(f))
}

func (f *Fleet) load(ctx context.Context, out io.Writer, h *history) (*load.Report, error) {
	client, err := call.New(call.Config{Seeds: f.Seeds(), Key: fake.CallerKey, Seed: loadSeed})
	if err != nil {
		return nil, err
	}
	defer client.Close()
	domainResult := make(chan error, 1)
	go func() { domainResult <- f.drainAndRestoreDomain(ctx, out) }()
	report, err := load.Run(ctx, load.Config{
		Title: "demo", Rate: loadRate, Duration: loadDuration, Seed: loadSeed,
		Kinds: []load.Kind{{Name: "lookup", Worth: 1, Share: 6}, {Name: "stock", Worth: 5, Share: 3}, {Name: "order", Worth: 10, Share: 1}},
	}, func(ctx context.Context, q load.Request) load.Result { return perform(ctx, client, h, q) })
	if err != nil {
		return nil, err
	}
	return report, <-domainResult
}

// drainAndRestoreDomain sets a failure domain to out and later back to in. The servers of the domain are marked
// when domainOutBound has passed.
func (f *Fleet) drainAndRestoreDomain(ctx context.Context, out io.Writer) error {
	sleep(ctx, drainStart)
	fmt.Fprintf(out, "operators take failure domain %s out\n", domainOut)
	if err := f.SetDomain(domainOut, conf.DomainOut); err != nil {
		return err
	}
	sleep(ctx, domainOutBound)
	for _, s := range f.Servers(domainOut) {
		s.Mark()
	}
	sleep(ctx, drainEnd-drainStart-domainOutBound)
	// Requests are allowed again after the restore, so the counts are read before it.
	before := checkDomainOut(f.Servers(domainOut))
	fmt.Fprintf(out, "%s is brought back; new work since it was out for %v: %s\n", domainOut, domainOutBound, before.Observed)
	for _, s := range f.Servers(domainOut) {
		s.Mark()
	}
	if !before.Passed {
		return errors.Wrap(ErrCheckFailed, before.Name)
	}
	return f.SetDomain(domainOut, conf.DomainIn)
}

func perform(ctx context.Context, client *call.Client, h *history, q load.Request) load.Result {
	if q.Kind.Name == "order" {
		body, _ := json.Marshal(struct{ Pairs uint64 }{q.Random % 100})
		r := client.Order(ctx, service, call.Order{Kind: "order", Body: body, Timeout: time.Second})
		if r.Key != "" {
			h.recordOrder(r.Key, r.Outcome)
		}
		return load.Result{Outcome: r.Outcome, NotRun: r.Outcome == wire.Refused, Coverage: 1}
	}
	id := "demo-" + strconv.Itoa(q.Number)
	a, err := client.Query(ctx, service, wire.Query{
		RequestID: id, Kind: q.Kind.Name, Query: "pairs " + strconv.FormatUint(q.Random%50, 10),
	})
	if err != nil {
		h.recordRefusal()
		f := wire.AsFailure(err)
		return load.Result{Outcome: f.Outcome, NotRun: f.NotRun}
	}
	h.recordAnswer(id, a)
	return load.Result{Outcome: a.Outcome, Coverage: a.Coverage.Fraction()}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func printChecks(out io.Writer, list []Check) error {
	broken := false
	fmt.Fprintln(out)
	for _, c := range list {
		label := "kept  "
		if !c.Passed {
			label, broken = "BROKEN", true
		}
		fmt.Fprintf(out, "%s  %s: %s\n", label, c.Name, c.Observed)
	}
	if broken {
		return ErrCheckFailed
	}
	return nil
}
