package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/stand"
	"github.com/arbutusthread/arbutusthread/wire"
)

// execution is one request that a server has begun to run.
type execution struct {
	stand.RoutedRun
	backend *backend
}

// checker compares what callers and servers have seen.
type checker struct {
	world  *world
	faults *faults
	// runs holds the executions by request.
	runs   map[string][]execution
	broken []string
	end    time.Time
}

const (
	// maxBroken bounds the violations that are listed.
	maxBroken = 50
	// contactTime is the time without disturbance from which on a node must know what is published.
	contactTime = 4 * time.Second
	// arrivalTime is the time that a request may be on its way to a server.
	arrivalTime = 200 * time.Millisecond
	// calmShare of the requests at the end must be answered. It leaves room for a machine that is busy.
	calmShare = 0.95
)

func newChecker(w *world, f *faults) *checker {
	c := &checker{world: w, faults: f, runs: make(map[string][]execution), end: time.Now()}
	for _, b := range w.backends {
		for _, r := range b.server.Runs() {
			c.runs[r.RequestID] = append(c.runs[r.RequestID], execution{r, b})
		}
	}
	return c
}

func (c *checker) fail(format string, args ...any) {
	if len(c.broken) < maxBroken {
		c.broken = append(c.broken, fmt.Sprintf(format, args...))
	}
}

func (c *checker) check() []string {
	known := make(map[string]bool)
	for _, x := range c.world.record.list {
		known[x.id] = true
		c.checkRuns(x)
		c.checkAnswer(x)
		c.checkStop(x)
	}
	for _, x := range c.world.record.marks {
		known[x.id] = true
	}
	for id, runs := range c.runs {
		if !known[id] {
			c.fail("unasked: server %s ran request %q, which no caller sent", runs[0].backend.id(), id)
		}
	}
	c.checkChanges()
	c.checkMarkers()
	c.checkEnd()
	for _, n := range c.world.nodes {
		for _, e := range n.exits {
			c.fail("process ended by itself: %s", e)
		}
	}
	return c.broken
}

func isOrder(x *exchange) bool { return strings.HasPrefix(x.uri, "/order/") }

// checkRuns checks how often and where a request ran.
func (c *checker) checkRuns(x *exchange) {
	runs := c.runs[x.id]
	servers := make(map[string]map[*backend]bool)
	for _, r := range runs {
		if r.Method != http.MethodPost || r.URI != x.uri || r.Body != x.body {
			c.fail("changed: request %s is %s %s with %d bytes at server %s", x.id, r.Method, r.URI, len(r.Body), r.backend.id())
		}
		if shop := r.backend.service == "shop"; shop != (x.host == shopHost) {
			c.fail("route: request %s to %s ran at service %s", x.id, x.host, r.backend.service)
		}
		if servers[r.backend.service] == nil {
			servers[r.backend.service] = make(map[*backend]bool)
		}
		servers[r.backend.service][r.backend] = true
	}
	for service, used := range servers {
		if len(used) > maxAttempts {
			c.fail("attempts: request %s ran on %d servers of %s", x.id, len(used), service)
		}
	}
	if !isOrder(x) {
		return
	}
	if len(runs) > 1 {
		c.fail("twice: order %s ran %d times", x.id, len(runs))
	}
	if refused := x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests; refused && x.err == nil && len(runs) > 0 {
		c.fail("refused: order %s was refused with %d and ran", x.id, x.status)
	}
}

// checkAnswer checks that a success is the whole answer of the servers that it names.
func (c *checker) checkAnswer(x *exchange) {
	if x.err != nil || x.status != http.StatusOK {
		return
	}
	names := wire.DefaultHeaders()
	if x.host == shopHost {
		b := c.sealed(x, x.header.Get(names.Seal))
		if b == nil || !bytes.Equal(x.answer, records(b, x.uri)) {
			c.fail("mixed: answer to %s is not that of a server", x.id)
		}
		return
	}
	var parts [][]byte
	services := make(map[string]bool)
	for _, seal := range strings.Split(x.header.Get(names.PartSeals), ",") {
		b := c.sealed(x, seal)
		if b == nil || services[b.service] {
			c.fail("mixed: answer to %s has a seal %q of no server or of a shard that it has already", x.id, seal)
			return
		}
		services[b.service] = true
		parts = append(parts, records(b, x.uri))
	}
	missing, err := strconv.Atoi(x.header.Get(names.MissingParts))
	if x.header.Get(names.MissingParts) == "" {
		missing, err = 0, nil
	}
	if err != nil || len(parts)+missing != shards || float64(len(parts)) < minCoverage*shards {
		c.fail("coverage: answer to %s has %d parts and misses %d of %d", x.id, len(parts), missing, shards)
	}
	if !bytes.Equal(x.answer, gather.TopK(parts, topK)) {
		c.fail("mixed: answer to %s is not the greatest records of its parts", x.id)
	}
}

// sealed returns the server whose seal it is.
func (c *checker) sealed(x *exchange, seal string) *backend {
	for _, b := range c.world.backends {
		if seal == stand.Seal(b.id(), x.id) {
			return b
		}
	}
	return nil
}

// records is what a server answers. Its records depend on its own address, its seal on the one that nodes
// know.
func records(b *backend, uri string) []byte { return stand.Body(b.server.Address().String(), uri, 8) }

// checkStop checks that a planned stop cuts no request that a server has run.
func (c *checker) checkStop(x *exchange) {
	if x.err == nil || len(c.runs[x.id]) == 0 {
		return
	}
	stopped := c.faults.disturbed(x.node.name, x.at, x.end, "stop")
	other := c.faults.disturbed(x.node.name, x.at.Add(-contactTime), x.end, "kill", "pause", "caller")
	if stopped && !other && !c.faults.disturbed("", x.at.Add(-contactTime), x.end, "server") {
		c.fail("cut: request %s to %s ran and got no answer during a planned stop: %v", x.id, x.node.name, x.err)
	}
}

// viewFaults keep nodes from what is published.
var viewFaults = []string{"kill", "pause", "stop", "platform"}

// checkChanges checks that servers that left and domains that are out get nothing.
func (c *checker) checkChanges() {
	for _, x := range c.faults.changes {
		due := x.at.Add(applyTime)
		if x.gone == "" && x.out == "" || c.faults.disturbed("", x.at.Add(-contactTime), due, viewFaults...) {
			continue
		}
		for id, runs := range c.runs {
			for _, r := range runs {
				hit := x.gone != "" && r.backend.id() == x.gone || x.out != "" && r.backend.domain == x.out
				// A request that was held up on its link was sent earlier.
				late := hit && r.At.After(due.Add(arrivalTime)) && r.At.Before(x.back)
				if late && !c.faults.disturbed("", r.At.Add(-contactTime), r.At, append(slices.Clone(viewFaults), "server")...) {
					c.fail("drain: request %s ran at %s in %s %s after version %d took it out", id, r.backend.id(), r.backend.domain, r.At.Sub(x.at), x.version)
				}
			}
		}
	}
}

// checkMarkers checks that each version gets in force in time and is never taken back.
func (c *checker) checkMarkers() {
	published := make(map[uint64]time.Time)
	for _, x := range c.faults.changes {
		published[x.version] = x.at
	}
	type run struct {
		node *process
		run  int
	}
	seen := make(map[run]uint64)
	slices.SortStableFunc(c.world.record.marks, func(a, b *exchange) int { return a.at.Compare(b.at) })
	for _, x := range c.world.record.marks {
		k := run{x.node, x.run}
		if x.err != nil || x.node.run() != x.run && x.end.After(c.end) {
			continue
		}
		if x.status != http.StatusNotFound {
			if x.status != http.StatusServiceUnavailable {
				seen[k] = max(seen[k], x.markerOf)
			}
			continue
		}
		if seen[k] >= x.markerOf {
			c.fail("reversal: %s had version %d and answers 404 for a route of version %d", x.node.name, seen[k], x.markerOf)
		}
		at := published[x.markerOf]
		if late := !at.IsZero() && x.at.After(at.Add(applyTime)); late && !c.faults.disturbed("", at.Add(-contactTime), x.at, viewFaults...) {
			c.fail("late: %s answers 404 for a route of version %d %s after it was published", x.node.name, x.markerOf, x.at.Sub(at))
		}
	}
}

// checkEnd checks that all is well again after the faults.
func (c *checker) checkEnd() {
	asked, answered := 0, 0
	last := ""
	for _, x := range c.world.record.list {
		if x.at.Before(c.end.Add(-calmTime)) || x.at.After(c.end.Add(-callerTimeout)) {
			continue
		}
		asked++
		if x.err == nil && x.status == http.StatusOK {
			answered++
		} else {
			last = fmt.Sprintf("%s to %s: status %d, %v", x.id, x.node.name, x.status, x.err)
		}
	}
	if asked == 0 || float64(answered) < calmShare*float64(asked) {
		c.fail("recovery: %d of %d requests answered after the faults, last failure %s", answered, asked, last)
	}
}
