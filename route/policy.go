package route

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Policy makes a decision D from an input I. Baselines implement the same interface, so that
// they can be measured beside the policy in use.
type Policy[I, D any] interface {
	Decide(now time.Time, in I) D
}

// Candidate is a replica that may receive a shard request now.
type Candidate struct {
	Server netip.AddrPort
	// Latency is the moving average of the server's answers; 0 means none yet.
	Latency time.Duration
	// Outstanding is the number of requests in flight at the server.
	Outstanding int
	// Allowance is the number of requests that it may run at once; always above Outstanding.
	Allowance int
	Cold      bool
}

// NoChoice is the decision of a replica policy that accepts none of the candidates.
const NoChoice = -1

// LeastScore picks the candidate with the lowest expected completion time: average latency
// times the load after this request as a share of the allowance. A seeded tie break keeps equal
// replicas evenly loaded.
type LeastScore struct {
	rand *rand.Rand
}

// NewLeastScore returns the policy with its own source of tie breaks.
func NewLeastScore(seed uint64) *LeastScore {
	return &LeastScore{rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Decide returns the index of the candidate, or NoChoice if there is none.
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

// score ranks an unmeasured server as fast, so that it is tried soon.
func score(c Candidate) float64 {
	load := float64(c.Outstanding+1) / float64(max(1, c.Allowance))
	return float64(c.Latency+time.Microsecond) * load
}

// RoundRobin is the baseline that takes candidates in turn and looks at nothing.
type RoundRobin struct {
	next int
}

// Decide returns the index of the next candidate, or NoChoice if there is none.
func (p *RoundRobin) Decide(_ time.Time, cands []Candidate) int {
	if len(cands) == 0 {
		return NoChoice
	}
	p.next++
	return p.next % len(cands)
}

// LeastOutstanding is the baseline that looks only at requests in flight.
type LeastOutstanding struct {
	next int
}

// Decide returns the index of the candidate with the fewest requests in flight, or NoChoice.
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
