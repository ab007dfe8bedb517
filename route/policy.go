package route

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Policy makes a decision D from an input I. Baseline policies implement the same interface, so they
// can be compared with the default policies.
type Policy[I, D any] interface {
	Decide(now time.Time, in I) D
}

// Candidate is a replica that can receive a shard request now.
type Candidate struct {
	Server netip.AddrPort
	// Latency is the moving average of the server's response latency; 0 means no samples yet.
	Latency time.Duration
	// Outstanding is the number of requests in flight at the server.
	Outstanding int
	// ConcurrencyLimit is the concurrency limit of the server in requests; always above Outstanding.
	ConcurrencyLimit int
	Cold             bool
}

// NoChoice is returned by a replica policy that selects no candidate.
const NoChoice = -1

// LeastScore selects the candidate with the lowest expected completion time: average latency times
// utilization after this request, which is outstanding requests divided by the concurrency limit.
// Ties are broken at random, from a seed, to keep equal replicas evenly loaded.
type LeastScore struct {
	rand *rand.Rand
}

// NewLeastScore returns a policy whose tie breaks are seeded with seed.
func NewLeastScore(seed uint64) *LeastScore {
	return &LeastScore{rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Decide returns the index of the selected candidate, or NoChoice if there are no candidates.
func (p *LeastScore) Decide(_ time.Time, cands []Candidate) int {
	best, least := NoChoice, 0.0
	ties := 0
	for i, c := range cands {
		v := score(c)
		switch {
		case best == NoChoice || v < least:
			best, least, ties = i, v, 1
		case v == least:
			ties++
			if p.rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// score returns the expected completion time. A server without samples ranks as fast, so it receives
// requests soon.
func score(c Candidate) float64 {
	load := float64(c.Outstanding+1) / float64(max(1, c.ConcurrencyLimit))
	return float64(c.Latency+time.Microsecond) * load
}

// RoundRobin is a baseline policy that selects candidates in turn, regardless of their state.
type RoundRobin struct {
	next int
}

// Decide returns the index of the next candidate, or NoChoice if there are no candidates.
func (p *RoundRobin) Decide(_ time.Time, cands []Candidate) int {
	if len(cands) == 0 {
		return NoChoice
	}
	p.next++
	return p.next % len(cands)
}

// LeastOutstanding is a baseline policy that considers only the number of requests in flight.
type LeastOutstanding struct {
	next int
}

// Decide returns the index of the candidate with the fewest requests in flight, or NoChoice if there
// are no candidates.
func (p *LeastOutstanding) Decide(_ time.Time, cands []Candidate) int {
	if len(cands) == 0 {
		return NoChoice
	}
	p.next++
	best := p.next % len(cands)
	for i, c := range cands {
		if c.Outstanding < cands[best].Outstanding {
			best = i
		}
	}
	return best
}
