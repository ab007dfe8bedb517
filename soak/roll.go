package soak

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/clock"
	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/wire"
)

// RollConfig holds the settings of a rolling restart.
type RollConfig struct {
	// Binary is the path of the node executable.
	Binary string
	// Dir is where a directory for the settings and logs of the nodes is created; empty means the default directory
	// for temporary files.
	Dir string
	// Keep retains the logs even if no request was lost.
	Keep bool
	Seed uint64
	// Nodes are the numbers of nodes in the three failure domains; empty means 4, 3 and 2.
	Nodes []int
	// Shards is the number of services of a query over all shards; 0 means 20.
	Shards int
	// Callers is the number of callers, and Rate that of all requests per second; 0 means 65 and 112.
	Callers int
	Rate    float64
	// Slow multiplies the processing times of the office, whose requests go to one server; 0 means 1. Silent is the share
	// of its requests that run and are never answered, and Broken that of requests that run and whose connection is reset.
	Slow, Silent, Broken float64
	// Gap is the time between two SIGTERMs, 0 means 2 s. Rounds is how many times each node is stopped; 0 means once.
	Gap    time.Duration
	Rounds int
	// StopTime is the time after SIGTERM at which a node is killed; 0 means 6 s.
	StopTime time.Duration
	// Overlap adds SIGHUPs and configurations during the stops.
	Overlap bool
}

func (c RollConfig) withDefaults() RollConfig {
	if len(c.Nodes) == 0 {
		c.Nodes = []int{4, 3, 2}
	}
	c.Shards, c.Callers = cmp.Or(c.Shards, 20), cmp.Or(c.Callers, 65)
	c.Rate, c.Slow = cmp.Or(c.Rate, 112), cmp.Or(c.Slow, 1)
	c.Gap, c.Rounds = cmp.Or(c.Gap, 2*time.Second), cmp.Or(c.Rounds, 1)
	c.StopTime = cmp.Or(c.StopTime, 6*time.Second)
	return c
}

// RollReport is the result of a rolling restart.
type RollReport struct {
	Seed     uint64
	Requests int
	// Answered counts successful requests, Refused those with a status that says that they were not executed, Failed
	// those with another status, and GaveUp those without an answer at the caller's deadline.
	Answered, Refused, Failed, GaveUp int
	// Crossed counts requests on connections that were closed before the node read them, and Excused those that ended
	// without an answer for a reason that the node does not control.
	Crossed, Excused int
	// Lost lists the requests that a node accepted and ended without an answer, at most 50, and LostCount is their number.
	Lost      []string
	LostCount int
	// EndedByStop counts the failures of stopping nodes, and EndedTooSoon those of them that a server would have answered
	// before the end of the stop time.
	EndedByStop, EndedTooSoon int
	// LongestStop is the longest time from SIGTERM to the end of a process. Killed counts processes that were killed at
	// the end of the stop time.
	LongestStop time.Duration
	Killed      int
	// Reloads is the number of times that a node has applied changed settings after SIGHUP. A node that is stopping does
	// not.
	Reloads int
	// Dir is the directory with the settings and logs of the nodes. It is removed if no request was lost, unless Keep
	// is set.
	Dir string `json:"Dir,omitempty"`
}

// Roll restarts the nodes of a fleet in turn under load, and checks that no request that a node accepted ends without
// an answer. Lost requests are listed in the report; an error means that the run itself failed. All processes that
// Roll started have exited when it returns.
func Roll(ctx context.Context, c RollConfig) (*RollReport, error) {
	c = c.withDefaults()
	dir, err := os.MkdirTemp(c.Dir, "roll-")
	if err != nil {
		return nil, errors.Wrap(err, "soak: folder of the run")
	}
	w, err := newRollWorld(c, dir)
	defer w.close()
	if err != nil {
		return nil, err
	}
	calls, stop := context.WithCancel(ctx)
	defer stop()
	if err := w.awaitAnswer(ctx); err != nil {
		return nil, err
	}
	var work sync.WaitGroup
	for i := range c.Callers {
		work.Go(func() { newRollCaller(w, i).run(calls) })
	}
	clock.Sleep(ctx, rollWarmUp)
	err = w.restartNodes(ctx)
	clock.Sleep(ctx, rollSettle)
	stop()
	work.Wait()
	if err := errors.CombineErrors(err, ctx.Err()); err != nil {
		return nil, errors.Wrap(err, "soak: run")
	}
	r := newRollChecker(w).report()
	for _, n := range w.nodes {
		log, err := os.ReadFile(n.log.Name())
		if err != nil {
			return nil, errors.Wrapf(err, "soak: log of %s", n.name)
		}
		r.Reloads += bytes.Count(log, []byte(`"settings reloaded"`))
	}
	if r.LostCount > 0 || c.Keep {
		r.Dir = dir
		return r, nil
	}
	return r, errors.Wrap(os.RemoveAll(dir), "soak: remove folder")
}

const (
	// rollWarmUp is the time before the first stop, in which the queues of slow servers fill. rollSettle is the time
	// after the last stop.
	rollWarmUp = 6 * time.Second
	rollSettle = 2 * time.Second
	// reloadLead is the time from the SIGHUP that precedes each stop to its SIGTERM.
	reloadLead = 200 * time.Millisecond
	// overlapDelay is the maximum time after a SIGTERM at which SIGHUPs and configurations follow.
	overlapDelay = 5 * time.Second
)

// plannedWork is one planned interruption of a node. Configurations concern all nodes.
type plannedWork struct {
	kind workKind
	// node is nil for a configuration.
	node *process
	// nodeStart is the start of the node that was interrupted.
	nodeStart int
	at        time.Time
	// end is the end of the process for a stop, and the time at which the platform accepted a configuration.
	end time.Time
	// killed is set if the process had not ended by the end of the stop time.
	killed bool
}

type workKind string

const (
	workStop          workKind = "SIGTERM"
	workReload        workKind = "SIGHUP"
	workConfiguration workKind = "configuration"
)

// restartNodes stops the nodes in a random order and starts them again.
func (w *rollWorld) restartNodes(ctx context.Context) error {
	r := rand.New(rand.NewPCG(w.config.Seed, 1))
	var restarts sync.WaitGroup
	var failed errorList
	for range w.config.Rounds {
		for _, i := range r.Perm(len(w.nodes)) {
			n := w.nodes[i]
			if w.config.Overlap {
				failed.add(w.reload(n))
				clock.Sleep(ctx, reloadLead)
				w.overlap(ctx, r, &restarts, &failed)
			}
			restarts.Go(func() { failed.add(w.stopNode(n)) })
			clock.Sleep(ctx, w.config.Gap)
		}
	}
	restarts.Wait()
	return failed.join()
}

// overlap schedules a SIGHUP to a random node and a configuration during the stop that has just begun.
func (w *rollWorld) overlap(ctx context.Context, r *rand.Rand, running *sync.WaitGroup, failed *errorList) {
	n := w.nodes[r.IntN(len(w.nodes))]
	reloadAfter, publishAfter := time.Duration(r.Int64N(int64(overlapDelay))), time.Duration(r.Int64N(int64(overlapDelay)))
	running.Go(func() {
		clock.Sleep(ctx, reloadAfter)
		failed.add(w.reload(n))
	})
	running.Go(func() {
		clock.Sleep(ctx, publishAfter)
		failed.add(w.changeTimeout())
	})
}

// reload changes the settings of a node and sends SIGHUP.
func (w *rollWorld) reload(n *process) error {
	w.addWork(&plannedWork{kind: workReload, node: n, nodeStart: n.startCount(), at: time.Now()})
	return n.reload(func(s *conf.Settings) { s.Bounds.RetrySlack++ })
}

// stopNode stops a node, kills it at the end of the stop time if it is still running, and starts it again.
func (w *rollWorld) stopNode(n *process) error {
	n.mu.Lock()
	done := n.done
	work := &plannedWork{kind: workStop, node: n, nodeStart: n.starts, at: time.Now()}
	n.mu.Unlock()
	w.addWork(work)
	n.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(time.Until(work.at.Add(w.config.StopTime))):
		work.killed = true
		n.signal(syscall.SIGKILL)
		<-done
	}
	work.end = time.Now()
	return n.restartAfter(done, w.config.StopTime)
}

// changeTimeout publishes a configuration that changes the timeout of the office by 100 ms.
func (w *rollWorld) changeTimeout() error {
	work := &plannedWork{kind: workConfiguration, at: time.Now()}
	w.addWork(work)
	err := w.publish(func(d *conf.Document) {
		office := &d.Routes[len(d.Routes)-1]
		next := rollOfficeTimeout
		if office.Timeout.Std() == next {
			next += 100 * time.Millisecond
		}
		office.Timeout = wire.Duration(next)
	})
	work.end = time.Now()
	return err
}

// errorList collects errors of concurrent steps.
type errorList struct {
	mu     sync.Mutex
	errors []error
}

func (l *errorList) add(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errors = append(l.errors, err)
}

func (l *errorList) join() error { return errors.Join(l.errors...) }

// String returns the report in one line for each lost request.
func (r *RollReport) String() string {
	s := fmt.Sprintf("seed %d: %d requests, %d answered, %d refused, %d failed, %d without an answer in time, %d crossed a close, "+
		"%d excused, %d ended by a stop (%d too soon), longest stop %s, %d killed, %d reloads, %d lost\n",
		r.Seed, r.Requests, r.Answered, r.Refused, r.Failed, r.GaveUp, r.Crossed, r.Excused, r.EndedByStop, r.EndedTooSoon,
		r.LongestStop.Round(time.Millisecond), r.Killed, r.Reloads, r.LostCount)
	for _, x := range r.Lost {
		s += "  " + x + "\n"
	}
	if r.Dir != "" {
		s += "  logs in " + r.Dir + "\n"
	}
	return s
}
