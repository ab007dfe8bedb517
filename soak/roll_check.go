package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/arbutusthread/arbutusthread/fake"
)

const (
	// maxLost is the maximum number of lost requests that a report lists.
	maxLost = 50
	// lossSlack is the time after the last byte of a request by which a node has read it.
	lossSlack = 200 * time.Millisecond
	// stopSlack is added to the stop time and to the apply time: a close within it is still attributed to the stop or to the
	// configuration.
	stopSlack = time.Second
	// excusedSendTime is the time after SIGTERM until which requests may last longer than the stop.
	excusedSendTime = 3 * time.Second
	// excusedShare is the share of the stop time after which a server that is still at work excuses the end of a request.
	excusedShare = 5.0 / 6
)

// rollChecker finds the requests that nodes accepted and ended without an answer.
type rollChecker struct {
	world *rollWorld
	runs  map[string][]fake.RoutedRun
}

func newRollChecker(w *rollWorld) *rollChecker {
	c := &rollChecker{world: w, runs: make(map[string][]fake.RoutedRun)}
	for _, s := range w.servers {
		for _, r := range s.Runs() {
			c.runs[r.RequestID] = append(c.runs[r.RequestID], r)
		}
	}
	return c
}

func (c *rollChecker) report() *RollReport {
	r := &RollReport{Seed: c.world.config.Seed, Requests: len(c.world.requests)}
	for _, x := range c.world.requests {
		switch {
		case x.gaveUp:
			r.GaveUp++
		case x.closed:
			c.addClosed(r, x)
		case x.status == http.StatusOK:
			r.Answered++
		case x.status == http.StatusServiceUnavailable:
			r.Refused++
		default:
			r.Failed++
			c.addFailed(r, x)
		}
	}
	for _, p := range c.world.work {
		if p.kind == workStop {
			r.LongestStop = max(r.LongestStop, p.end.Sub(p.at))
			if p.killed {
				r.Killed++
			}
		}
	}
	return r
}

// addClosed counts a request whose connection ended without a complete answer.
func (c *rollChecker) addClosed(r *RollReport, x *rollRequest) {
	switch {
	case !c.accepted(x):
		r.Crossed++
	case c.excuse(x) != "":
		r.Excused++
	default:
		r.LostCount++
		if len(r.Lost) < maxLost {
			r.Lost = append(r.Lost, c.describe(x))
		}
	}
}

// accepted reports whether the node must have read a request: it has run, or the connection was open for lossSlack after
// its last byte.
func (c *rollChecker) accepted(x *rollRequest) bool {
	return len(c.runs[x.id]) > 0 || x.end.Sub(x.sent) > lossSlack
}

// excuse returns the reason why the end of a request is not the node's fault, or the empty string.
func (c *rollChecker) excuse(x *rollRequest) string {
	if x.end.Sub(x.sent) >= c.limit(x) {
		return "deadline"
	}
	if c.brokenOff(x) {
		return "server"
	}
	stop := c.stopOf(x)
	if stop == nil || x.sent.After(stop.at.Add(excusedSendTime)) {
		return ""
	}
	stopTime := c.world.config.StopTime
	from := stop.at.Add(time.Duration(excusedShare * float64(stopTime)))
	to := stop.at.Add(stopTime)
	for _, run := range c.runs[x.id] {
		if run.At.Before(to) && run.At.Before(x.end) && (run.Ended.IsZero() || run.Ended.After(from)) {
			return "server at work"
		}
	}
	return ""
}

// limit returns the lower one of the caller's timeout and that of the route.
func (c *rollChecker) limit(x *rollRequest) time.Duration {
	if x.host == officeHost {
		return min(x.timeout, rollOfficeTimeout)
	}
	return min(x.timeout, rollDeskTimeout)
}

// brokenOff reports whether the servers ended all runs of a request without an answer.
func (c *rollChecker) brokenOff(x *rollRequest) bool {
	runs := c.runs[x.id]
	for i := range runs {
		if !runs[i].BrokenOff {
			return false
		}
	}
	return len(runs) > 0
}

// stopOf returns the stop of the node during which the connection of a request ended, or nil.
func (c *rollChecker) stopOf(x *rollRequest) *plannedWork {
	for _, p := range c.world.work {
		if p.kind == workStop && p.node == x.node && p.nodeStart == x.nodeStart && !x.end.Before(p.at) &&
			!x.end.After(p.at.Add(c.world.config.StopTime+stopSlack)) {
			return p
		}
	}
	return nil
}

// addFailed counts the failures of stopping nodes.
func (c *rollChecker) addFailed(r *RollReport, x *rollRequest) {
	stop := c.stopOf(x)
	if stop == nil || x.end.Sub(x.sent) >= c.limit(x)-stopSlack/10 {
		return
	}
	r.EndedByStop++
	end := stop.at.Add(c.world.config.StopTime)
	for _, run := range c.runs[x.id] {
		if finish := run.At.Add(run.Work); finish.After(x.end) && finish.Before(end) {
			r.EndedTooSoon++
			return
		}
	}
}

// describe returns what is known of a lost request.
func (c *rollChecker) describe(x *rollRequest) string {
	s := fmt.Sprintf("request %s to %s at %s, kept %t: closed %s after its last byte", x.id, x.host, x.node.name, x.kept,
		x.end.Sub(x.sent).Round(time.Millisecond))
	for _, p := range c.world.work {
		if c.concerns(p, x) {
			s += fmt.Sprintf("; sent %s and closed %s after %s", x.sent.Sub(p.at).Round(time.Millisecond),
				x.end.Sub(p.at).Round(time.Millisecond), p.kind)
		}
	}
	for _, run := range c.runs[x.id] {
		s += fmt.Sprintf("; ran %s after it was sent", run.At.Sub(x.sent).Round(time.Millisecond))
		if !run.Ended.IsZero() {
			s += fmt.Sprintf(" for %s", run.Ended.Sub(run.At).Round(time.Millisecond))
		}
	}
	return s
}

// concerns reports whether a request ended without an answer within the time of planned work that affects its node.
func (c *rollChecker) concerns(p *plannedWork, x *rollRequest) bool {
	switch p.kind {
	case workStop:
		return p == c.stopOf(x)
	case workReload:
		return p.node == x.node && p.nodeStart == x.nodeStart && !x.end.Before(p.at) && !x.sent.After(p.at.Add(applyTime))
	default:
		return !x.end.Before(p.at) && !x.end.After(p.end.Add(applyTime+stopSlack))
	}
}
