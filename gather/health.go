package gather

import (
	"math"
	"time"
)

const (
	// slownessWeight is the weight of a new sample in the moving average of the slowness.
	slownessWeight = 0.3
	// slownessHalfLife is the time in which an old measurement of slowness loses half of its
	// effect, so that a server that was slow is tried again.
	slownessHalfLife = 2 * time.Second
	// failingWeight is the weight of an attempt in the moving average of failures, which loses half of its
	// value in failingHalfLife.
	failingWeight   = 0.3
	failingHalfLife = 4 * time.Second
	// isolatedRatio bounds a sample of the slowness that follows a normal one, and longestRatio any.
	isolatedRatio = 2.0
	longestRatio  = 12.0
	// failuresToEject is the number of failures in a row that ejects a server.
	failuresToEject = 3
	// firstEjection is the first time for which a server is ejected. It doubles up to lastEjection.
	firstEjection = 250 * time.Millisecond
	lastEjection  = 4 * time.Second
)

// health is what the engine has seen of a backend server or of a node that relays.
type health struct {
	// open are the attempts that have not ended, oldest first.
	open []*attempt
	// slowness is the moving average of latencies divided by the typical latency of their class.
	slowness   float64
	slownessAt time.Time
	// last is the ratio of the last answer.
	last float64
	// answeredAt is the time of the last answer.
	answeredAt time.Time
	// failing is the moving average of the share of attempts that failed.
	failing   float64
	failingAt time.Time
	// failures counts the failures in a row.
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// observe includes a latency relative to the typical one of its class. A single slow answer counts
// little, since servers make short pauses.
func (h *health) observe(now time.Time, ratio float64) {
	limit := isolatedRatio
	if h.last > isolatedRatio {
		limit = longestRatio
	}
	h.last = ratio
	ratio = min(ratio, limit)
	v := h.slownessNow(now)
	h.slowness = v + slownessWeight*(ratio-v)
	h.slownessAt = now
}

// slownessNow returns the slowness, which approaches 1 while nothing is measured.
func (h *health) slownessNow(now time.Time) float64 {
	if h.slownessAt.IsZero() {
		return 1
	}
	age := now.Sub(h.slownessAt)
	return 1 + (h.slowness-1)*math.Exp2(-float64(age)/float64(slownessHalfLife))
}

// tried includes whether an attempt failed.
func (h *health) tried(now time.Time, failed bool) {
	v := h.failingNow(now)
	x := 0.0
	if failed {
		x = 1
	}
	h.failing, h.failingAt = v+failingWeight*(x-v), now
}

// failingNow returns the share of attempts that failed, which approaches 0 while nothing is measured.
func (h *health) failingNow(now time.Time) float64 {
	if h.failing == 0 {
		return 0
	}
	return h.failing * math.Exp2(-float64(now.Sub(h.failingAt))/float64(failingHalfLife))
}

// succeed records an answer.
func (h *health) succeed(now time.Time) {
	h.answeredAt = now
	h.failures, h.ejections, h.ejectedUntil = 0, 0, time.Time{}
}

// fail records a failure and reports whether it leads to an ejection. A severe failure does at once.
func (h *health) fail(now time.Time, severe bool) bool {
	if h.ejected(now) {
		return false
	}
	h.failures++
	if !severe && h.failures < failuresToEject && h.ejections == 0 {
		return false
	}
	h.ejectedUntil = now.Add(min(lastEjection, firstEjection<<min(h.ejections, 10)))
	h.ejections++
	h.failures = 0
	return true
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// stalled reports whether an attempt has been open for longer than wait and nothing has been
// answered since it was sent. The other side pauses, or is gone without a word.
func (h *health) stalled(now time.Time, wait time.Duration) bool {
	if len(h.open) == 0 {
		return false
	}
	sentAt := h.open[0].sentAt
	return now.Sub(sentAt) > wait && h.answeredAt.Before(sentAt)
}

func (h *health) drop(a *attempt) {
	for i, x := range h.open {
		if x == a {
			h.open = append(h.open[:i], h.open[i+1:]...)
			return
		}
	}
}
