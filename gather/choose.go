package gather

import (
	"math"
	"time"
)

const (
	// declineScore is the score above which a relay declines a shard. The requesting node can use servers in all
	// failure domains.
	declineScore = 5.0
	// domainPenalty is the factor by which the score of a server in another failure domain is multiplied. It accounts
	// for the round trip between domains, although a measured latency already includes it, and for the cost of the
	// traffic between them.
	domainPenalty = 2.5
	// stallTails is the time without an answer, as a multiple of the tail latency of a class, after which a server
	// counts as stalled.
	stallTails = 1.2
	// stallSlowness is the slowness of a stalled server, and coldSlowness of a cold one.
	stallSlowness = 8.0
	coldSlowness  = 1.6
	// retryCost is the cost of a failed attempt, in typical latencies, when the request can be sent again. failureCost
	// is the cost when it cannot, so that its caller gets no answer.
	retryCost   = 3.0
	failureCost = 40.0
	// slotsLimitSlowness is the slowness above which a node limits its outstanding requests at a server to the number
	// of slots of the server. Above halfSlotsSlowness, the limit is half of the slots.
	slotsLimitSlowness = 1.5
	halfSlotsSlowness  = 4.0
)

// choose returns the server for the next attempt of a task, or nil if no server can accept it now. A nil task stands
// for one that has not been sent yet.
func (e *Engine) choose(now time.Time, j *job, p *pool, t *task) *server {
	if p == nil {
		return nil
	}
	var best, bestEjected *server
	least, leastEjected := 0.0, 0.0
	for _, s := range p.servers {
		if t != nil && !t.maySendTo(now, s) || !e.usable(now, s) || j.Relayed && s.FailureDomain != e.config.FailureDomain {
			continue
		}
		v := e.score(now, j, s)
		if s.ejected(now) {
			if bestEjected == nil || v < leastEjected {
				bestEjected, leastEjected = s, v
			}
			continue
		}
		if best == nil || v < least {
			best, least = s, v
		}
	}
	if j.Relayed && len(p.servers) > 1 && (best == nil || least > declineScore) {
		return nil
	}
	if best == nil {
		// Fall back to an ejected server when no other one is usable.
		return bestEjected
	}
	return best
}

// usable reports whether this node may send another request to the server.
func (e *Engine) usable(now time.Time, s *server) bool {
	return s.isListed() && s.hasCapacity(now, e.share(now, coldWindow+arrivalSpread))
}

// hasCapacity reports whether the limits on connections and outstanding requests, the overload backoff, a pushback and, during a
// cold start, this node's share of the rate limit allow another request.
func (s *server) hasCapacity(now time.Time, coldShare float64) bool {
	if s.Connections > 0 && len(s.open) >= s.Connections || s.concurrencyLimit > 0 && len(s.open) >= s.concurrencyLimit {
		return false
	}
	if now.Before(s.backoffUntil) || s.hasPushback(now) {
		return false
	}
	if len(s.open) >= s.queueLimit(now) {
		return false
	}
	if s.ColdRate > 0 && s.cold(now) {
		return float64(s.recentSends.count(now)+1) <= s.ColdRate*coldShare
	}
	return true
}

// queueLimit returns the maximum number of outstanding requests from this node at the server. The limit is lower for
// slower servers: a request queued at the node can still be sent elsewhere or left out of the answer, while one queued
// at the server cannot.
func (s *server) queueLimit(now time.Time) int {
	v := s.slownessNow(now)
	switch {
	case s.Slots <= 0 || v <= slotsLimitSlowness:
		return math.MaxInt
	case v <= halfSlotsSlowness:
		return s.Slots
	default:
		return max(1, s.Slots/2)
	}
}

// score rates a server for a request. Lower is better.
func (e *Engine) score(now time.Time, j *job, s *server) float64 {
	v := e.slowness(now, j, s)
	cost := retryCost
	if !j.Idempotent {
		cost = failureCost
	}
	v *= 1 + cost*s.failureRateNow(now)
	if s.FailureDomain != e.config.FailureDomain {
		v *= domainPenalty
	}
	// Random jitter spreads the load over servers with equal scores.
	return v * (1 + scoreJitter*e.rand.Float64())
}

// slowness is the expected latency of a request at a server relative to the typical one of its class.
func (e *Engine) slowness(now time.Time, j *job, s *server) float64 {
	v := s.slownessNow(now)
	if s.cold(now) {
		v = max(v, coldSlowness)
	}
	if wait := time.Duration(stallTails * float64(j.class.tail())); s.stalled(now, wait) {
		v = max(v, stallSlowness)
	}
	if queue := len(s.open) + 1 - s.Slots; queue > 0 && s.Slots > 0 {
		v *= 1 + float64(queue)/float64(s.Slots)
	}
	return v
}

// scoreJitter is the random fraction added to a score, so that nodes with the same view do not all choose the same
// server.
const scoreJitter = 0.1
