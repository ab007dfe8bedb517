package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/wire"
)

// execution is one request that a backend server has started to execute.
type execution struct {
	fake.RoutedRun
	backend *backend
}

// checker compares the responses that callers received with the requests that backend servers executed.
type checker struct {
	world  *world
	faults *faultInjector
	// runs holds the executions by request ID.
	runs       map[string][]execution
	violations []string
	// end is the time at which the callers stopped sending requests.
	end time.Time
}

const (
	// maxViolations is the maximum number of violations in a report.
	maxViolations = 50
	// convergenceTime is the fault-free time after which a node must have received all published changes.
	convergenceTime = 4 * time.Second
	// maxTransitTime is the longest time that a request may be in transit to a backend server.
	maxTransitTime = 200 * time.Millisecond
	// minRecoveryRatio is the ratio of requests that must succeed in the recovery window. It is below 1 to
	// tolerate a busy machine.
	minRecoveryRatio = 0.95
)

func newChecker(w *world, f *faultInjector, end time.Time) *checker {
	c := &checker{world: w, faults: f, runs: make(map[string][]execution), end: end}
	for _, b := range w.backends {
		for _, r := range b.server.Runs() {
			c.runs[r.RequestID] = append(c.runs[r.RequestID], execution{r, b})
		}
	}
	return c
}

func (c *checker) fail(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

func (c *checker) check() []string {
	knownIDs := make(map[string]bool)
	for _, x := range c.world.recorder.exchanges {
		knownIDs[x.id] = true
		c.checkExecutions(x)
		c.checkResponse(x)
		c.checkPlannedStop(x)
	}
	for _, x := range c.world.recorder.probes {
		knownIDs[x.id] = true
	}
	for id, runs := range c.runs {
		if !knownIDs[id] {
			c.fail("unasked: server %s ran request %q, which no caller sent", runs[0].backend.id(), id)
		}
	}
	c.checkDrains()
	c.checkVersions()
	c.checkRecovery()
	for _, n := range c.world.nodes {
		for _, e := range n.unexpectedExits {
			c.fail("process ended by itself: %s", e)
		}
	}
	return c.violations
}

// isOrder reports whether a request must not run twice.
func isOrder(x *exchange) bool {
	return strings.HasPrefix(x.uri, orderPrefix) || strings.HasPrefix(x.uri, paymentPrefix)
}

// isServedBy reports whether the configuration sends a request to the service.
func isServedBy(x *exchange, service string) bool {
	switch x.host {
	case shopHost:
		return service == shopService
	case officeHost:
		return service == officeService
	}
	return service != shopService && service != officeService
}

// checkExecutions checks how many times a request was executed and on which servers.
func (c *checker) checkExecutions(x *exchange) {
	runs := c.runs[x.id]
	servers := make(map[string]map[*backend]bool)
	for _, r := range runs {
		if r.Method != http.MethodPost || r.URI != x.uri || r.Body != x.body {
			c.fail("changed: request %s is %s %s with %d bytes at server %s", x.id, r.Method, r.URI, len(r.Body), r.backend.id())
		}
		if !isServedBy(x, r.backend.service) {
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

// checkResponse checks that a successful response is the complete response of the servers named by its seals.
func (c *checker) checkResponse(x *exchange) {
	if x.err != nil || x.status != http.StatusOK {
		return
	}
	names := wire.DefaultHeaders()
	if x.host != searchHost {
		b := c.backendForSeal(x, x.header.Get(names.Seal))
		if b == nil || !bytes.Equal(x.response, expectedBody(b, x.uri)) {
			c.fail("mixed: answer to %s is not that of a server", x.id)
		}
		return
	}
	var parts [][]byte
	services := make(map[string]bool)
	for _, seal := range strings.Split(x.header.Get(names.PartSeals), ",") {
		b := c.backendForSeal(x, seal)
		if b == nil || services[b.service] {
			c.fail("mixed: answer to %s has a seal %q of no server or of a shard that it has already", x.id, seal)
			return
		}
		services[b.service] = true
		parts = append(parts, expectedBody(b, x.uri))
	}
	missing, err := strconv.Atoi(x.header.Get(names.MissingParts))
	if x.header.Get(names.MissingParts) == "" {
		missing, err = 0, nil
	}
	total := len(parts) + missing
	if err != nil || !c.isShardCount(x, total) || float64(len(parts)) < minCoverage*float64(total) {
		c.fail("coverage: answer to %s has %d parts and misses %d", x.id, len(parts), missing)
	}
	if !bytes.Equal(x.response, gather.TopK(parts, topK)) {
		c.fail("mixed: answer to %s is not the greatest records of its parts", x.id)
	}
}

// isShardCount reports whether a configuration that may be in force for a request has that many shards.
func (c *checker) isShardCount(x *exchange, count int) bool {
	switch count {
	case shards:
		return !slices.ContainsFunc(c.faults.changes, func(k *change) bool { return k.droppedShard && c.isInForce(k, x) })
	case shards - 1:
		return slices.ContainsFunc(c.faults.changes, func(k *change) bool { return k.droppedShard && c.mayBeInForce(k, x) })
	}
	return false
}

// isInForce reports whether all nodes must have applied a change, and it was not reverted, when a request was sent.
func (c *checker) isInForce(k *change, x *exchange) bool {
	return x.at.After(k.at.Add(applyTime)) && (k.revertedAt.IsZero() || x.end.Before(k.revertedAt)) &&
		!c.faults.hadFault("", k.at.Add(-convergenceTime), x.at, configFaults...)
}

// mayBeInForce reports whether a node may have used a change for a request. A node without current data may use it after it
// was reverted.
func (c *checker) mayBeInForce(k *change, x *exchange) bool {
	return k.at.Before(x.end) && (k.revertedAt.IsZero() || x.at.Before(k.revertedAt.Add(applyTime)) ||
		c.faults.hadFault("", k.revertedAt.Add(-convergenceTime), x.at, configFaults...))
}

// backendForSeal returns the backend server that issued the seal for request x, or nil if there is none.
func (c *checker) backendForSeal(x *exchange, seal string) *backend {
	for _, b := range c.world.backends {
		if seal == fake.RoutedSeal(b.id(), x.id) {
			return b
		}
	}
	return nil
}

// expectedBody returns the response body of a backend server. The body is derived from the server's listen
// address, whereas the seal is derived from its proxy address, which is the one in the configuration.
func expectedBody(b *backend, uri string) []byte {
	return fake.RoutedBody(b.server.Address().String(), uri, 8)
}

// checkPlannedStop checks that a planned stop does not abort a request that a server has executed.
func (c *checker) checkPlannedStop(x *exchange) {
	if x.err == nil || len(c.runs[x.id]) == 0 {
		return
	}
	stopped := c.faults.hadFault(x.node.name, x.at, x.end, "stop")
	other := c.faults.hadFault(x.node.name, x.at.Add(-convergenceTime), x.end, "kill", "pause", "caller")
	if stopped && !other && !c.faults.hadFault("", x.at.Add(-convergenceTime), x.end, "server") {
		c.fail("cut: request %s to %s ran and got no answer during a planned stop: %v", x.id, x.node.name, x.err)
	}
}

// configFaults are the kinds of faults that can keep a node from receiving published configuration.
var configFaults = []string{"kill", "pause", "stop", "platform"}

// checkDrains checks that removed servers and drained failure domains receive no requests.
func (c *checker) checkDrains() {
	for _, x := range c.faults.changes {
		due := x.at.Add(applyTime)
		if x.removedServer == "" && x.drainedDomain == "" || c.faults.hadFault("", x.at.Add(-convergenceTime), due, configFaults...) {
			continue
		}
		for id, runs := range c.runs {
			for _, r := range runs {
				hit := x.removedServer != "" && r.backend.id() == x.removedServer || x.drainedDomain != "" && r.backend.domain == x.drainedDomain
				// A request that a link fault delayed may have been sent before the change was due.
				late := hit && r.At.After(due.Add(maxTransitTime)) && r.At.Before(x.revertedAt)
				if late && !c.faults.hadFault("", r.At.Add(-convergenceTime), r.At, append(slices.Clone(configFaults), "server")...) {
					c.fail("drain: request %s ran at %s in %s %s after version %d took it out", id, r.backend.id(), r.backend.domain, r.At.Sub(x.at), x.version)
				}
			}
		}
	}
}

// checkVersions checks that each configuration version takes effect within applyTime and that no node reverts
// to an older version.
func (c *checker) checkVersions() {
	published := make(map[uint64]time.Time)
	for _, x := range c.faults.changes {
		published[x.version] = x.at
	}
	type run struct {
		node *process
		run  int
	}
	seen := make(map[run]uint64)
	slices.SortStableFunc(c.world.recorder.probes, func(a, b *exchange) int { return a.at.Compare(b.at) })
	for _, x := range c.world.recorder.probes {
		k := run{x.node, x.nodeStart}
		if x.err != nil || x.node.startCount() != x.nodeStart && x.end.After(c.end) {
			continue
		}
		if x.status != http.StatusNotFound {
			if x.status != http.StatusServiceUnavailable {
				seen[k] = max(seen[k], x.markerVersion)
			}
			continue
		}
		if seen[k] >= x.markerVersion {
			c.fail("reversal: %s had version %d and answers 404 for a route of version %d", x.node.name, seen[k], x.markerVersion)
		}
		at := published[x.markerVersion]
		if late := !at.IsZero() && x.at.After(at.Add(applyTime)); late && !c.faults.hadFault("", at.Add(-convergenceTime), x.at, configFaults...) {
			c.fail("late: %s answers 404 for a route of version %d %s after it was published", x.node.name, x.markerVersion, x.at.Sub(at))
		}
	}
}

// checkRecovery checks that at least minRecoveryRatio of the requests in the recovery window succeed.
func (c *checker) checkRecovery() {
	asked, answered := 0, 0
	last := ""
	for _, x := range c.world.recorder.exchanges {
		if x.at.Before(c.end.Add(-recoveryWindow)) || x.at.After(c.end.Add(-callerTimeout)) {
			continue
		}
		asked++
		if x.err == nil && x.status == http.StatusOK {
			answered++
		} else {
			last = fmt.Sprintf("%s to %s: status %d, %v", x.id, x.node.name, x.status, x.err)
		}
	}
	if asked == 0 || float64(answered) < minRecoveryRatio*float64(asked) {
		c.fail("recovery: %d of %d requests answered after the faults, last failure %s", answered, asked, last)
	}
}
