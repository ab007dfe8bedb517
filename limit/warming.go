package limit

import "time"

const (
	// firstAnswers is the number of answers whose mean is the latency at the start of a cold phase.
	firstAnswers = 4
	// recentWeight is the weight of a new answer in the recent latency of a cold phase.
	recentWeight = 0.25
	// latencySlack is how far the progress by the number of answers may be ahead of that by latency.
	latencySlack = 0.2
	// latencyMargin is taken from the progress by latency when it stands alone, for its noise. At 0.2 and
	// 0.35 some cold servers got more than they bore, at 0.5 none in 120 cold starts.
	latencyMargin = 0.5
)

// Warming is what the servers of a slice have shown in earlier cold starts. It lets a later one ramp
// up while it still says that it is cold.
type Warming struct {
	answers int
}

// learn includes the number of requests that have warmed a server up. The largest number counts, which
// gives the slowest ramp.
func (w *Warming) learn(requests int) {
	w.answers = max(w.answers, requests)
}

// coldPhase is a time in which the answers of a server say that it is cold.
type coldPhase struct {
	answers int
	// partial means that the server may have been cold already when the count began.
	partial bool
	sum     time.Duration
	recent  time.Duration
}

func (p *coldPhase) add(latency time.Duration) {
	p.answers++
	if p.answers <= firstAnswers {
		p.sum += latency
		p.recent = p.sum / time.Duration(p.answers)
		return
	}
	p.recent += time.Duration(recentWeight * float64(latency-p.recent))
}

// progress returns how far the server has warmed up, from 0 to 1: by the number of answers, but not
// far ahead of the fall of its latency towards the warm one. Before the first complete cold start of
// the slice the latency alone must do, less its noise. It is 0 while no warm latency is known.
func (p *coldPhase) progress(w *Warming, warm time.Duration) float64 {
	if w == nil || warm == 0 || p.answers <= firstAnswers {
		return 0
	}
	first := p.sum / firstAnswers
	if first <= warm {
		return 0
	}
	byLatency := float64(first-p.recent) / float64(first-warm)
	if w.answers == 0 {
		return max(0, byLatency-latencyMargin)
	}
	return min(float64(p.answers)/float64(w.answers), max(0, byLatency)+latencySlack, 1)
}
