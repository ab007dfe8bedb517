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

// Config holds the settings of a run.
type Config struct {
	// Binary is the path of the node executable.
	Binary string
	// Dir is where a directory for the settings and logs of the nodes is created; empty means the default directory
	// for temporary files.
	Dir string
	// Keep retains the logs even if no guarantee was violated.
	Keep bool
	Seed uint64
	// Nodes and Callers are the numbers of nodes and callers; 0 means 6 nodes and 12 callers.
	Nodes, Callers int
	// FaultTime is how long faults are injected; 0 means 20 s. The rest of the run takes about 13 s.
	FaultTime time.Duration
	Log       *slog.Logger
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Requests int
	// Answered counts successful requests, Refused requests with a status that says that they were not executed,
	// and Failed all others.
	Answered, Refused, Failed int
	Faults                    int
	// Broken lists the violations, at most 50.
	Broken []string
	// Dir is the directory with the settings and logs of the nodes. It is removed if there are no violations,
	// unless Keep is set.
	Dir string `json:"Dir,omitempty"`
}

// startTime is how long to wait for the first successful response.
const startTime = 10 * time.Second

// Run runs a fleet under faults and checks its guarantees. Violations are listed in the report; an error means
// that the run itself failed. All processes that Run started have exited when it returns.
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
	f := &faultInjector{world: w, log: c.Log}
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
	sendEnd := time.Now()
	work.Wait()
	if err := errors.Join(append(errs, ctx.Err())...); err != nil {
		return nil, errors.Wrap(err, "soak: run")
	}
	r := w.report(newChecker(w, f, sendEnd).check(), len(f.windows))
	if len(r.Broken) > 0 || c.Keep {
		r.Dir = dir
		return r, nil
	}
	return r, errors.Wrap(os.RemoveAll(dir), "soak: remove folder")
}

// awaitAnswer publishes a first marker route and waits until the fleet answers a request successfully.
func (w *world) awaitAnswer(ctx context.Context) error {
	f := &faultInjector{world: w}
	if err := f.publish(&change{}, func(*conf.Document) {}); err != nil {
		return err
	}
	c := newCaller(w, w.config.Callers)
	defer c.client.CloseIdleConnections()
	for end := time.Now().Add(startTime); time.Now().Before(end) && ctx.Err() == nil; clock.Sleep(ctx, 50*time.Millisecond) {
		n := c.pickNode(ctx, searchHost)
		if n == nil {
			continue
		}
		x := &exchange{id: w.recorder.nextID(), host: searchHost, uri: "/s/0", node: n, timeout: callerTimeout}
		c.send(ctx, x)
		w.recorder.add(x)
		if x.err == nil && x.status == http.StatusOK {
			return nil
		}
	}
	return errors.Newf("soak: no answer within %s, logs in %s", startTime, w.dir)
}

func (w *world) report(broken []string, faults int) *Report {
	r := &Report{Seed: w.config.Seed, Requests: len(w.recorder.exchanges), Faults: faults, Broken: broken}
	for _, x := range w.recorder.exchanges {
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
