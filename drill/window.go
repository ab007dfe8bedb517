package drill

import (
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// windowTime is the length of the windows of a run.
const windowTime = 2 * time.Second

// Window holds the figures of the requests that arrived in a part of a run.
type Window struct {
	From wire.Duration `json:"From"`
	// Worth is the share earned of what the requests could earn, 1 without requests.
	Worth float64 `json:"Worth"`
	// Coverage is the mean over answered requests, and P99 their latency.
	Coverage float64       `json:"Coverage"`
	P99      wire.Duration `json:"P99"`
	// Rejected is the share of requests without an answer.
	Rejected float64 `json:"Rejected"`
	// Extra is the share of arrivals at servers beyond the first of each shard.
	Extra float64 `json:"Extra"`
}

// windowLoad counts the requests of a window.
type windowLoad struct {
	asked, rejected int
	owed, earned    float64
	covered         float64
	firsts, extras  int
	// latencies are those of the answered requests.
	latencies []time.Duration
}

func (l *windowLoad) add(o *windowLoad) {
	l.asked += o.asked
	l.rejected += o.rejected
	l.owed += o.owed
	l.earned += o.earned
	l.covered += o.covered
	l.firsts += o.firsts
	l.extras += o.extras
	l.latencies = append(l.latencies, o.latencies...)
}

func (l *windowLoad) figures(from time.Duration) Window {
	v := Window{From: wire.Duration(from), Worth: 1, Extra: float64(l.extras) / float64(max(1, l.firsts))}
	if l.owed > 0 {
		v.Worth = l.earned / l.owed
	}
	v.Rejected = float64(l.rejected) / float64(max(1, l.asked))
	if n := len(l.latencies); n > 0 {
		slices.Sort(l.latencies)
		v.Coverage = l.covered / float64(n)
		v.P99 = wire.Duration(l.latencies[(n*99-1)/100])
	}
	return v
}
