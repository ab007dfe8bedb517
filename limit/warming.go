package limit

import "time"

const (
	// initialWindow is the number of responses whose mean is the latency at the start of a cold phase.
	initialWindow = 4
	// recentWeight is the weight of a new response in the moving average of the latency in a cold phase.
	recentWeight = 0.25
	// latencySlack bounds how far the progress by response count may exceed the progress by latency.
	latencySlack = 0.2
	// latencyMargin is subtracted from the progress by latency, to allow for noise, while no cold start has
	// been recorded. At 0.2 and 0.35 some cold servers were overloaded, at 0.5 none in 120 cold starts.
	latencyMargin = 0.5
)

// WarmupHistory records how many requests earlier cold starts in a slice needed. It allows the limit
// of a cold server to rise while the server still reports cold.
type WarmupHistory struct {
	requests int
}

// record adds the number of requests that warmed up a server. It keeps the maximum, which gives the
// slowest ramp.
func (w *WarmupHistory) record(requests int) {
	w.requests = max(w.requests, requests)
}

// coldPhase is a period in which the responses of a server report cold.
type coldPhase struct {
	responses int
	// partial means that the server may already have been cold when counting began.
	partial    bool
	initialSum time.Duration
	recent     time.Duration
}

func (p *coldPhase) add(latency time.Duration) {
	p.responses++
	if p.responses <= initialWindow {
		p.initialSum += latency
		p.recent = p.initialSum / time.Duration(p.responses)
		return
	}
	p.recent += time.Duration(recentWeight * float64(latency-p.recent))
}

// progress estimates the warm-up progress of the server from 0 to 1. It uses the response count, capped
// at latencySlack above the relative decrease of the latency towards the warm latency. Until the slice
// has completed a cold start, it uses the latency alone, less latencyMargin for noise. It returns 0
// while no warm latency is known.
func (p *coldPhase) progress(w *WarmupHistory, warm time.Duration) float64 {
	if w == nil || warm == 0 || p.responses <= initialWindow {
		return 0
	}
	initial := p.initialSum / initialWindow
	if initial <= warm {
		return 0
	}
	byLatency := float64(initial-p.recent) / float64(initial-warm)
	if w.requests == 0 {
		return max(0, byLatency-latencyMargin)
	}
	return min(float64(p.responses)/float64(w.requests), max(0, byLatency)+latencySlack, 1)
}
