package gather

import (
	"math"
	"time"
)

const (
	// slownessWeight is the weight of a new sample in the moving average of the slowness.
	slownessWeight = 0.3
	// slownessHalfLife is the half-life with which the slowness decays towards 1, so that a server that was slow is
	// tried again.
	slownessHalfLife = 2 * time.Second
	// failureRateWeight is the weight of an attempt in the moving average of the failure rate, which decays with a
	// half-life of failureRateHalfLife.
	failureRateWeight   = 0.3
	failureRateHalfLife = 4 * time.Second
	// maxIsolatedRatio limits a slowness sample that follows a normal one. maxRatio limits all samples.
	maxIsolatedRatio = 2.0
	maxRatio         = 12.0
	// failuresToEject is the number of consecutive failures after which a server is ejected.
	failuresToEject = 3
	// minEjection is the duration of the first ejection of a server. It doubles with each further ejection
	// without a successful answer in between, up to maxEjection.
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
)

// health holds the measured health of a backend server or a relay.
type health struct {
	// open holds the attempts that have not ended, oldest first.
	open []*attempt
	// slowness is the moving average of the ratio of the latency to the typical latency of its class.
	slowness   float64
	slownessAt time.Time
	// lastRatio is the last slowness sample, before it was limited.
	lastRatio float64
	// answeredAt is the time of the last answer.
	answeredAt time.Time
	// failureRate is the moving average of the fraction of attempts that failed.
	failureRate   float64
	failureRateAt time.Time
	// consecutiveFailures counts the failures since the last successful answer or ejection.
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
}

// observe adds a slowness sample: the ratio of a latency to the typical latency of its class. The effect of a single
// slow answer is limited, since servers have short pauses.
func (h *health) observe(now time.Time, ratio float64) {
	limit := maxIsolatedRatio
	if h.lastRatio > maxIsolatedRatio {
		limit = maxRatio
	}
	h.lastRatio = ratio
	ratio = min(ratio, limit)
	v := h.slownessNow(now)
	h.slowness = v + slownessWeight*(ratio-v)
	h.slownessAt = now
}

// slownessNow returns the slowness, which decays towards 1 while there are no new samples.
func (h *health) slownessNow(now time.Time) float64 {
	if h.slownessAt.IsZero() {
		return 1
	}
	age := now.Sub(h.slownessAt)
	return 1 + (h.slowness-1)*math.Exp2(-float64(age)/float64(slownessHalfLife))
}

// recordOutcome updates the failure rate with the outcome of an attempt.
func (h *health) recordOutcome(now time.Time, failed bool) {
	v := h.failureRateNow(now)
	x := 0.0
	if failed {
		x = 1
	}
	h.failureRate, h.failureRateAt = v+failureRateWeight*(x-v), now
}

// failureRateNow returns the failure rate, which decays towards 0 while there are no new samples.
func (h *health) failureRateNow(now time.Time) float64 {
	if h.failureRate == 0 {
		return 0
	}
	return h.failureRate * math.Exp2(-float64(now.Sub(h.failureRateAt))/float64(failureRateHalfLife))
}

// recordSuccess records a successful answer and ends an ejection.
func (h *health) recordSuccess(now time.Time) {
	h.answeredAt = now
	h.consecutiveFailures, h.ejections, h.ejectedUntil = 0, 0, time.Time{}
}

// recordFailure records a failure and reports whether it ejects the server. A severe failure, or any failure after an
// ejection without a successful answer in between, ejects the server at once.
func (h *health) recordFailure(now time.Time, severe bool) bool {
	if h.ejected(now) {
		return false
	}
	h.consecutiveFailures++
	if !severe && h.consecutiveFailures < failuresToEject && h.ejections == 0 {
		return false
	}
	h.ejectedUntil = now.Add(min(maxEjection, minEjection<<min(h.ejections, 10)))
	h.ejections++
	h.consecutiveFailures = 0
	return true
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// stalled reports whether the oldest open attempt has been open for longer than wait and no answer has arrived since
// it was sent. The peer is paused, or it has failed without closing its connections.
func (h *health) stalled(now time.Time, wait time.Duration) bool {
	if len(h.open) == 0 {
		return false
	}
	sentAt := h.open[0].sentAt
	return now.Sub(sentAt) > wait && h.answeredAt.Before(sentAt)
}

func (h *health) removeOpen(a *attempt) {
	for i, x := range h.open {
		if x == a {
			h.open = append(h.open[:i], h.open[i+1:]...)
			return
		}
	}
}
