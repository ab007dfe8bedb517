package soak

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/clock"
	"github.com/arbutusthread/arbutusthread/conf"
)

// Config describes a run.
type Config struct {
	// Binary is the program of the nodes.
	Binary string
	// Dir gets a folder for the settings and logs of the nodes; empty means that of temporary files.
	Dir string
	// Keep leaves the logs also when no promise was broken.
	Keep bool
	Seed uint64
	// Nodes and Callers are their numbers; 0 means 6 and 12.
	Nodes, Callers int
	// FaultTime is how long faults are injected; 0 means 20 s. The run takes about 13 s more.
	FaultTime time.Duration
	Log       *slog.Logger
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Requests int
	// Answered requests got a success, Refused a status that says they have not run, and Failed anything
	// else.
	Answered, Refused, Failed int
	Faults                    int
	// Broken are the violations, at most 50.
	Broken []string
	// Dir has the logs of the nodes. It is removed when nothing was broken, unless Keep is set.
	Dir string `json:"Dir,omitempty"`
}

// startTime bounds the wait for the first answers.
const startTime = 10 * time.Second

// Run runs a fleet under faults and checks the promises. Its error says that the run itself failed, not that
// a promise was broken. All processes that it has started have ended when it returns.
func Run(ctx context.Context, c Config) (*Report, error) {
	c.Nodes, c.Callers = cmp.Or(c.Nodes, 6), cmp.Or(c.Callers, 12)
	c.FaultTime = cmp.Or(c.FaultTime, 20*time.Second)
	dir, err := os.MkdirTemp(c.Dir, "soak-")
	if err != nil {
		return nil, errors.Wrap(err, "soak: folder of the run")
	}
	w, err := newWorld(c, dir)
	defer w.close()
	if err != nil {
		return nil, err
	}
	if err := w.awaitAnswer(ctx); err != nil {
		return nil, err
	}
	f := &faults{world: w, log: c.Log}
	calls, stop := context.WithCancel(ctx)
	defer stop()
	var work sync.WaitGroup
	for i := range c.Callers {
		work.Go(func() { newCaller(w, i).run(calls) })
	}
	for _, n := range w.nodes {
		work.Go(func() { probe(calls, w, n) })
	}
	during, end := context.WithTimeout(ctx, c.FaultTime)
	errs := f.run(during, rand.New(rand.NewPCG(c.Seed, 1)))
	end()
	clock.Sleep(ctx, settleTime)
	stop()
	work.Wait()
	if err := errors.Join(append(errs, ctx.Err())...); err != nil {
		return nil, errors.Wrap(err, "soak: run")
	}
	r := w.report(newChecker(w, f).check(), len(f.windows))
	if len(r.Broken) > 0 || c.Keep {
		r.Dir = dir
		return r, nil
	}
	return r, errors.Wrap(os.RemoveAll(dir), "soak: remove folder")
}

// awaitAnswer waits until the fleet serves, with a first marker route in force.
func (w *world) awaitAnswer(ctx context.Context) error {
	f := &faults{world: w}
	if err := f.publish(&change{}, func(*conf.Document) {}); err != nil {
		return err
	}
	c := newCaller(w, w.config.Callers)
	defer c.client.CloseIdleConnections()
	for end := time.Now().Add(startTime); time.Now().Before(end) && ctx.Err() == nil; clock.Sleep(ctx, 50*time.Millisecond) {
		n := c.choose(ctx, searchHost)
		if n == nil {
			continue
		}
		x := &exchange{id: w.record.nextID(), host: searchHost, uri: "/s/0", node: n}
		c.send(ctx, x)
		w.record.add(x)
		if x.err == nil && x.status == http.StatusOK {
			return nil
		}
	}
	return errors.Newf("soak: no answer within %s, logs in %s", startTime, w.dir)
}

func (w *world) report(broken []string, faults int) *Report {
	r := &Report{Seed: w.config.Seed, Requests: len(w.record.list), Faults: faults, Broken: broken}
	for _, x := range w.record.list {
		switch {
		case x.err == nil && x.status == http.StatusOK:
			r.Answered++
		case x.err == nil && x.status == http.StatusServiceUnavailable:
			r.Refused++
		default:
			r.Failed++
		}
	}
	return r
}
