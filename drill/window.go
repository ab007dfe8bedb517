package drill

import (
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// windowTime is the length of the windows into which a run is divided.
const windowTime = 2 * time.Second

// Window holds the measurements of the requests that arrived in a window of a run.
type Window struct {
	From wire.Duration `json:"From"`
	// Worth is the credit earned relative to the total worth of the requests, or 1 without requests.
	Worth float64 `json:"Worth"`
	// Coverage is the mean coverage of answered requests, and P99 the 99th percentile of their latency.
	Coverage float64       `json:"Coverage"`
	P99      wire.Duration `json:"P99"`
	// Unanswered is the share of requests without an answer.
	Unanswered float64 `json:"Rejected"`
	// ExtraShare is the number of arrivals at servers beyond the first for each shard, relative to those
	// first ones.
	ExtraShare float64 `json:"Extra"`
}

// windowLoad counts the requests of a window.
type windowCounts struct {
	requests, unanswered int
	offered, earned      float64
	covered              float64
	firsts, extras       int
	// latencies are the latencies of answered requests.
	latencies []time.Duration
}

func (l *windowCounts) merge(o *windowCounts) {
	l.requests += o.requests
	l.unanswered += o.unanswered
	l.offered += o.offered
	l.earned += o.earned
	l.covered += o.covered
	l.firsts += o.firsts
	l.extras += o.extras
	l.latencies = append(l.latencies, o.latencies...)
}

func (l *windowCounts) summarize(from time.Duration) Window {
	v := Window{From: wire.Duration(from), Worth: 1, ExtraShare: float64(l.extras) / float64(max(1, l.firsts))}
	if l.offered > 0 {
		v.Worth = l.earned / l.offered
	}
	v.Unanswered = float64(l.unanswered) / float64(max(1, l.requests))
	if n := len(l.latencies); n > 0 {
		slices.Sort(l.latencies)
		v.Coverage = l.covered / float64(n)
		v.P99 = wire.Duration(l.latencies[(n*99-1)/100])
	}
	return v
}
