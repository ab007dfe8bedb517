package node

import (
	"context"
	"runtime"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/meter"
)

// gaugeInterval is the time between two updates of the gauges. Metrics are scraped every few seconds.
const gaugeInterval = 2 * time.Second

type attemptKey struct {
	purpose gather.Purpose
	outcome gather.Outcome
}

// countAttempt counts the end of an attempt. The caller holds n.mu.
func (n *Node) countAttempt(p gather.Purpose, c gather.Outcome) {
	k := attemptKey{p, c}
	counter := n.attemptCounters[k]
	if counter == nil {
		counter = n.metrics.Counter("attempts", "purpose", string(p), "class", string(c))
		n.attemptCounters[k] = counter
	}
	counter.Inc(1)
}

// attemptCounters caches the tagged counters of attempts, since tagging a counter for each attempt costs more than
// incrementing it.
type attemptCounters map[attemptKey]tally.Counter

// runGauges updates the gauges every gaugeInterval until ctx ends.
func (n *Node) runGauges(ctx context.Context) {
	t := time.NewTicker(gaugeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.updateGauges()
		}
	}
}

func (n *Node) updateGauges() {
	m := n.metrics
	p := n.position()
	m.SetGauge("config_version", float64(p.Version))
	m.SetGauge("platform_era", float64(p.Revision.Era()))
	m.SetGauge("platform_revision", float64(p.Revision.Number()))
	if age, ok := n.peer.FeedAge(); ok {
		m.SetGauge("platform_age_seconds", age.Seconds())
	}
	m.SetGauge("reader_rank", float64(n.peer.ReaderRank()))
	states := map[fleet.State]int{fleet.StateAlive: 0, fleet.StateLeaving: 0, fleet.StateDown: 0}
	for _, x := range n.peer.Members() {
		states[x.State]++
	}
	for s, count := range states {
		m.SetGauge("members", float64(count), "state", string(s))
	}
	n.mu.Lock()
	now := time.Now()
	load := n.engine.Load(now)
	n.quarantine.Expire(now)
	n.mu.Unlock()
	m.SetGauge("requests_open", float64(load.Requests))
	m.SetGauge("attempts_open", float64(load.Attempts))
	m.SetGauge("shards_waiting", float64(load.Waiting))
	m.SetGauge("servers", float64(load.Servers))
	m.SetGauge("servers_ejected", float64(load.Ejected))
	m.SetGauge("servers_leaving", float64(load.Leaving))
	m.SetGauge("servers_pushback", float64(load.Pushback))
	m.SetGauge("nodes_sharing", float64(load.Nodes))
	m.SetGauge("goroutines", float64(runtime.NumGoroutine()))
}

// Metrics returns the metrics of the node.
func (n *Node) Metrics() *meter.Metrics { return n.metrics }
