package soak

import (
	"cmp"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/fake"
)

// rollScenario is a synthetic request to a node that gets SIGTERM.
type rollScenario struct {
	name string
	// sent and closed are times after SIGTERM.
	sent, closed time.Duration
	// timeout is that of the caller, 0 for one beyond the end of the request.
	timeout time.Duration
	// status is that of a complete answer, 0 if there is none.
	status int
	runs   []fake.RoutedRun
	lost   bool
	// excused and crossed are set if the request is counted as such.
	excused, crossed bool
}

var rollStop = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// ranFrom returns a run that began and ended at times after SIGTERM; an end of 0 means that it was still running.
func ranFrom(from, to time.Duration) fake.RoutedRun {
	r := fake.RoutedRun{RequestID: "q1", At: rollStop.Add(from)}
	if to != 0 {
		r.Ended = rollStop.Add(to)
	}
	return r
}

func brokenOff(r fake.RoutedRun) fake.RoutedRun {
	r.BrokenOff = true
	return r
}

// Guards against a check that excuses more or less than the rule on lost requests does.
func TestLostRequestsAndExcuses(t *testing.T) {
	const ms, s = time.Millisecond, time.Second
	tests := []rollScenario{
		{name: "server at work on a late request", sent: 3100 * ms, closed: 5700 * ms, runs: []fake.RoutedRun{ranFrom(3200*ms, 0)}, lost: true},
		{name: "server at work on a request of the first 3 s", sent: 2900 * ms, closed: 5700 * ms, runs: []fake.RoutedRun{ranFrom(3*s, 5700*ms)}, excused: true},
		{name: "server done before the last sixth", sent: s, closed: 5700 * ms, runs: []fake.RoutedRun{ranFrom(s, 4900*ms)}, lost: true},
		{name: "server that never answers", sent: 100 * ms, closed: 5700 * ms, runs: []fake.RoutedRun{ranFrom(200*ms, 300*ms)}, lost: true},
		{name: "request from before the stop", sent: -200 * ms, closed: 4 * s, runs: []fake.RoutedRun{ranFrom(0, 4*s)}, lost: true},
		{name: "no server reached", sent: s, closed: 5700 * ms, lost: true},
		{name: "within the slack and not passed on", sent: 3600 * ms, closed: 3700 * ms, crossed: true},
		{name: "within the slack and passed on", sent: 3600 * ms, closed: 3700 * ms, runs: []fake.RoutedRun{ranFrom(3610*ms, 3700*ms)}, lost: true},
		{name: "server that begins after the close", sent: s, closed: 4 * s, runs: []fake.RoutedRun{ranFrom(4100*ms, 5500*ms)}, lost: true},
		{name: "deadline of the caller", sent: -300 * ms, closed: 5700 * ms, timeout: 6 * s, excused: true},
		{name: "server broke off", sent: s, closed: 2 * s, runs: []fake.RoutedRun{brokenOff(ranFrom(s, 2*s))}, excused: true},
		{name: "one of two servers broke off", sent: s, closed: 3 * s, runs: []fake.RoutedRun{brokenOff(ranFrom(s, 2*s)), ranFrom(2*s, 3*s)}, lost: true},
		{name: "after the stop", sent: 3100 * ms, closed: 7500 * ms, runs: []fake.RoutedRun{ranFrom(3200*ms, 7500*ms)}, lost: true},
		{name: "answered with a failure", sent: s, closed: 5400 * ms, status: 504},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			n := &process{name: "node-0", starts: 1}
			w := &rollWorld{config: RollConfig{}.withDefaults()}
			w.work = []*plannedWork{{kind: workStop, node: n, nodeStart: 1, at: rollStop, end: rollStop.Add(5710 * ms)}}
			w.requests = []*rollRequest{{
				id: "q1", host: officeHost, timeout: cmp.Or(x.timeout, 8*s), node: n, nodeStart: 1, kept: true,
				sent: rollStop.Add(x.sent), end: rollStop.Add(x.closed), status: x.status, closed: x.status == 0,
			}}
			c := newRollChecker(w)
			c.runs["q1"] = x.runs
			r := c.report()
			is.Equal(r.LostCount, boolCount(x.lost))
			is.Equal(r.Excused, boolCount(x.excused))
			is.Equal(r.Crossed, boolCount(x.crossed))
		})
	}
}

func boolCount(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against requests that a stopping node accepts and cuts off without an answer since their servers are slower than
// the stop: 350e39b, without a deadline for the requests of a stopping node, loses some in each run.
func TestRollingRestartAtSlowServersLosesNoRequest(t *testing.T) {
	binary := buildBinary(t)
	for _, c := range []RollConfig{
		{Seed: 1, Nodes: []int{2, 1, 1}, Shards: 4, Callers: 30, Rate: 80, Slow: 20, Gap: time.Second, Overlap: true},
		{Seed: 2, Nodes: []int{2, 1, 1}, Shards: 4, Callers: 30, Rate: 80, Slow: 4, Silent: 0.2, Broken: 0.1, Gap: time.Second},
	} {
		c.Binary, c.Dir = binary, os.TempDir()
		t.Run(fmt.Sprint("seed ", c.Seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, err := Roll(t.Context(), c)
			is.NoErr(err)
			t.Log(r)
			is.Equal(r.Lost, nil)
			is.Equal(r.Killed, 0)
			is.True(r.Answered > r.Requests/2)
			is.True(r.EndedByStop > 0) // the stops met requests that outlive them
			is.True(!c.Overlap || r.Reloads > 0)
		})
	}
}
